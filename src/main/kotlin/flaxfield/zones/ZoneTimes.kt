package flaxfield.zones

import flaxfield.MILLIS_PER_SECOND

/** The durations of a zone's states in milliseconds, as ratios to a worker's lease. */
class ZoneTimes(leaseS: Double) {
    private val leaseMs = leaseS * MILLIS_PER_SECOND

    /**
     * From suspicion to loss. With [HEARTBEAT_TIMEOUT_LEASES] before it, the silence has then lasted for a whole lease: leases
     * that were not renewed have expired, and a shorter partition moves nothing.
     */
    val confirmMs: Long = (leaseMs * (1.0 - HEARTBEAT_TIMEOUT_LEASES)).toLong()

    /** How long a silent zone is left alone before it is tried again: its machines have all been returned by then. */
    val retryMs: Long = (leaseMs * RETRY_LEASES).toLong()

    /** A zone that has been healthy for this long starts its next return as if it had never failed. */
    val stableMs: Long = (leaseMs * STABLE_LEASES).toLong()

    /** How long one step of a return lasts after [relapses]: long enough for each worker to send two heartbeats. */
    fun stepMs(relapses: Int): Long =
        (leaseMs * STEP_LEASES * (1.0 + STEP_GROWTH * relapses.coerceAtMost(MAX_RELAPSES))).toLong()

    /** How long after a loss a machine is released if [tiers] tiers are more urgent than the tasks on it. */
    fun releaseDelayMs(tiers: Int): Long = (leaseMs * STAGE_LEASES * minOf(tiers, MAX_STAGES)).toLong()

    companion object {
        /** A machine without a heartbeat for this share of a lease, about two heartbeat intervals, counts as silent. */
        const val HEARTBEAT_TIMEOUT_LEASES = 0.4

        /** Relapses beyond this number make no difference. */
        const val MAX_RELAPSES = 2

        private const val STEP_LEASES = 0.5
        private const val RETRY_LEASES = 6.0
        private const val STABLE_LEASES = 10.0

        /** Two stages take about as long as a boot and an image fetch: by then a machine rented elsewhere is up. */
        private const val STAGE_LEASES = 1.0
        private const val MAX_STAGES = 2

        /** How much longer a step takes with each relapse: work that is bound to the zone waits for it. */
        private const val STEP_GROWTH = 0.25
    }
}
