package flaxfield.controller

import flaxfield.NANOS_PER_SECOND

/** When the store last answered this process: during an outage, or while it alone is refused, that moment grows old. */
class StoreContact(private val clock: Clock) {
    /** The time of the last answer that was no error, by the monotonic clock; 0 before the first. */
    var lastResponseNs: Long = 0
        private set

    /** The store has just answered with anything but an error. */
    fun noteResponse() {
        lastResponseNs = clock.monotonicNs()
    }

    /** How long ago the last answer came. */
    fun silenceNs(): Long = clock.monotonicNs() - lastResponseNs

    /**
     * Whether the store has not answered for so long that it seems out of reach, given the workers' lease. Renewals of
     * this process's own lease make it answer often: several of them in a row are without an answer then.
     */
    fun isUnreachable(leaseS: Double): Boolean = silenceNs() > leaseS * SILENCE_SHARE * NANOS_PER_SECOND

    private companion object {
        /** The share of a worker's lease without an answer after which the store counts as silent. */
        const val SILENCE_SHARE = 0.25
    }
}
