package flaxfield.controller

/** The clocks that a controller reads; tests provide their own. */
interface Clock {
    /** Monotonic time in nanoseconds, for leases, timeouts and intervals. */
    fun steadyNs(): Long

    /** Wall-clock time in milliseconds since the epoch, for timestamps that are stored or shared between processes. */
    fun dayMs(): Long

    /** The clocks of the local machine. */
    object System : Clock {
        override fun steadyNs(): Long = java.lang.System.nanoTime()

        override fun dayMs(): Long = java.lang.System.currentTimeMillis()
    }
}
