package flaxfield.fleet

/** Whether a rented machine that has not reported yet may still be expected to. */
enum class BootStatus {
    BOOTING,

    /** Later than usual: it is replaced in the capacity plan, but not returned yet. */
    OVERDUE,

    /** It is not expected any more and is returned. */
    LOST,
    ;

    companion object {
        /**
         * Pure: the status of a machine [ageS] seconds after its rental. A machine that is slow while [laterOnesUp]
         * (machines of its type rented after it have come up) is an exception. Otherwise all are slow and a replacement
         * would be as slow, so that it gets [ALL_SLOW_FACTOR] times as long.
         */
        fun of(ageS: Double, bootTimeS: Double, laterOnesUp: Boolean): BootStatus {
            val bootTimes = ageS / bootTimeS / (if (laterOnesUp) 1 else ALL_SLOW_FACTOR)
            return when {
                bootTimes > LOST_BOOT_TIMES -> LOST
                bootTimes > OVERDUE_BOOT_TIMES -> OVERDUE
                else -> BOOTING
            }
        }

        /** PROTOCOL-flaxfield.md: a boot usually takes up to 1.5 times `ready_s`. */
        private const val OVERDUE_BOOT_TIMES = 1.6

        /** PROTOCOL-flaxfield.md: some machines take several times as long; after this many boot times none comes. */
        private const val LOST_BOOT_TIMES = 3.2
        private const val ALL_SLOW_FACTOR = 2
    }
}
