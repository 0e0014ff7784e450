package flaxfield.zones

import flaxfield.MILLIS_PER_SECOND

/** The timeouts and durations of a zone's states in milliseconds, derived from the duration of a worker's lease. */
class ZoneTimes(leaseS: Double) {
    private val leaseMs = leaseS * MILLIS_PER_SECOND

    /**
     * How long a zone is suspect before it is lost. With the preceding [HEARTBEAT_TIMEOUT_LEASES], this makes a whole
     * lease without heartbeats: leases that were not renewed have expired, and a shorter partition displaces no tasks.
     */
    val lossConfirmationMs: Long = (leaseMs * (1.0 - HEARTBEAT_TIMEOUT_LEASES)).toLong()

    /** How long a zone is lost before it is probed. All its machines have been returned by then. */
    val probeDelayMs: Long = (leaseMs * PROBE_DELAY_LEASES).toLong()

    /**
     * How long after the end of a loss a further loss still counts as a flap. A zone that has been probed for as long
     * no longer counts as recovering.
     */
    val stableMs: Long = (leaseMs * STABLE_LEASES).toLong()

    /** Returns how long a step of a return lasts: long enough for each worker to send two heartbeats. */
    fun stepMs(flapCount: Int): Long =
        (leaseMs * STEP_LEASES * (1.0 + STEP_GROWTH_PER_FLAP * flapCount.coerceAtMost(MAX_FLAP_COUNT))).toLong()

    /** Returns how long after a loss a machine is released if [moreUrgentTiers] tiers precede its tasks. */
    fun releaseDelayMs(moreUrgentTiers: Int): Long =
        (leaseMs * STAGE_LEASES * minOf(moreUrgentTiers, MAX_STAGES)).toLong()

    companion object {
        /**
         * A machine counts as unreachable after this share of a lease without a heartbeat, which is about two heartbeat
         * intervals.
         */
        const val HEARTBEAT_TIMEOUT_LEASES = 0.4

        /** Flaps beyond this number do not lengthen the steps further. */
        const val MAX_FLAP_COUNT = 2

        private const val STEP_LEASES = 0.5
        private const val PROBE_DELAY_LEASES = 6.0
        private const val STABLE_LEASES = 10.0

        /**
         * Two stages last about as long as a boot and an image fetch, so that a machine rented elsewhere is up by then.
         */
        private const val STAGE_LEASES = 1.0
        private const val MAX_STAGES = 2

        /** The growth of a step per flap, small because tasks bound to the zone wait for its return. */
        private const val STEP_GROWTH_PER_FLAP = 0.25
    }
}
