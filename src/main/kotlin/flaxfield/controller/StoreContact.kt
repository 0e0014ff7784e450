package flaxfield.controller

import flaxfield.NANOS_PER_SECOND

/** Tracks when the store last responded to this process, to detect an outage or a partition of this process alone. */
class StoreContact(private val clock: Clock) {
    /** The monotonic time of the last response that was not an error; 0 before the first. */
    var lastResponseNs: Long = 0
        private set

    /** Records that the store has just responded without an error. */
    fun noteResponse() {
        lastResponseNs = clock.monotonicNs()
    }

    /** Returns the time since the last response without an error. */
    fun timeSinceResponseNs(): Long = clock.monotonicNs() - lastResponseNs

    /**
     * Whether the store counts as unreachable, given the length [leaseS] of workers' leases. Renewals of this process's
     * own lease cause frequent responses, so several renewals in a row must have failed.
     */
    fun isUnreachable(leaseS: Double): Boolean =
        timeSinceResponseNs() > leaseS * UNREACHABLE_LEASE_SHARE * NANOS_PER_SECOND

    private companion object {
        /** The time without a response after which the store counts as unreachable, as a share of a worker's lease. */
        const val UNREACHABLE_LEASE_SHARE = 0.25
    }
}
