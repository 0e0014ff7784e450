package flaxfield.fleet

/** The boot status of a rented machine that has not reported yet. */
enum class BootStatus {
    /** Within the usual boot time. */
    BOOTING,

    /** Later than usual: the capacity plan replaces the machine, but it is not returned yet. */
    OVERDUE,

    /** The boot is considered failed, and the machine is returned. */
    FAILED,
    ;

    companion object {
        /**
         * Returns the status of a machine [ageS] seconds after its rental. If [laterRentalsUp], machines of its type
         * that were rented later are up already, so only this one is slow. Otherwise the whole type is assumed to be
         * slow. A replacement would be as slow, so the limits are multiplied by [SLOW_TYPE_FACTOR]. Pure.
         */
        fun of(ageS: Double, bootTimeS: Double, laterRentalsUp: Boolean): BootStatus {
            val bootTimes = ageS / bootTimeS / (if (laterRentalsUp) 1 else SLOW_TYPE_FACTOR)
            return when {
                bootTimes > FAILED_AFTER_BOOT_TIMES -> FAILED
                bootTimes > OVERDUE_AFTER_BOOT_TIMES -> OVERDUE
                else -> BOOTING
            }
        }

        /** PROTOCOL-flaxfield.md: a boot usually takes up to 1.5 times `ready_s`. */
        private const val OVERDUE_AFTER_BOOT_TIMES = 1.6

        /** PROTOCOL-flaxfield.md: some boots take several times as long; none succeeds after this many boot times. */
        private const val FAILED_AFTER_BOOT_TIMES = 3.2
        private const val SLOW_TYPE_FACTOR = 2
    }
}
