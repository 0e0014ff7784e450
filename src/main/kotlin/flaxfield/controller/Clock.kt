package flaxfield.controller

/** The clocks that a controller reads; tests provide their own. */
interface Clock {
    /** Monotonic time in nanoseconds, for leases, timeouts and intervals. */
    fun monotonicNs(): Long

    /** Wall-clock time in milliseconds since the epoch, for timestamps that are stored or shared between processes. */
    fun wallClockMs(): Long

    /** The clocks of the local machine. */
    object System : Clock {
        override fun monotonicNs(): Long = java.lang.System.nanoTime()

        override fun wallClockMs(): Long = java.lang.System.currentTimeMillis()
    }
}
