package flaxfield.controller

/** The two clocks of a process; tests set their own. */
interface Clock {
    /** The monotonic clock in nanoseconds: for leases, timeouts and intervals. */
    fun monotonicNs(): Long

    /** The wall clock in milliseconds since the epoch: for what is stored and compared between processes. */
    fun wallClockMs(): Long

    /** The clocks of the machine that this process runs on. */
    object System : Clock {
        override fun monotonicNs(): Long = java.lang.System.nanoTime()

        override fun wallClockMs(): Long = java.lang.System.currentTimeMillis()
    }
}
