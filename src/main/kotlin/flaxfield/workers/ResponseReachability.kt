package flaxfield.workers

/**
 * Tracks whether this controller's responses reach a worker. Immutable.
 *
 * In a one-way network partition, heartbeats arrive but responses and commands are lost. Such a machine looks alive but
 * starts no tasks, and it loses its tasks whenever its lease expires.
 */
data class ResponseReachability(
    private val term: ULong = 0uL,
    private val incarnation: ULong = 0uL,
    private val pendingLaunches: List<WorkerCommand.Launch> = emptyList(),
    private val respondedAtNs: Long = 0,
    /** When the worker's current incarnation first sent a heartbeat to this controller. */
    private val incarnationSinceNs: Long = 0,
    /** The number of lost responses that the heartbeats indicate since a response last took effect. */
    val missedResponses: Int = 0,
) {
    /** Returns the state after [heartbeat], which must be newer than the last one; [leaseNs] is the lease duration. */
    fun afterHeartbeat(heartbeat: Heartbeat, term: ULong, nowNs: Long, leaseNs: Double): ResponseReachability {
        if (respondedAtNs == 0L || term != this.term) return copy(missedResponses = 0)
        return when {
            // The worker's lease expired soon after a response was sent to it. A temporary partition or a pause of the
            // worker causes this only once.
            heartbeat.incarnation > incarnation -> {
                val respondedRecently = nowNs - respondedAtNs < leaseNs * RECENT_LEASES
                copy(missedResponses = if (respondedRecently) missedResponses + EXPIRED_LEASE_WEIGHT else 0)
            }
            heartbeat.fencingToken < term -> copy(missedResponses = missedResponses + 1)
            // The incarnation has lasted for longer than a lease, so a response must have renewed it.
            nowNs - incarnationSinceNs > leaseNs * MIN_OUTLIVED_LEASES -> copy(missedResponses = 0)
            pendingLaunches.isEmpty() -> this
            pendingLaunches.any { isReported(it, heartbeat) } -> copy(missedResponses = 0)
            else -> copy(missedResponses = missedResponses + 1)
        }
    }

    private fun isReported(launch: WorkerCommand.Launch, heartbeat: Heartbeat): Boolean =
        heartbeat.task(AttemptId(launch.job, launch.index, launch.attempt)) != null

    /** Returns the state after a response with [commands] is sent to [heartbeat]. */
    fun afterResponse(
        heartbeat: Heartbeat,
        term: ULong,
        commands: List<WorkerCommand>,
        nowNs: Long,
    ): ResponseReachability {
        val startsIncarnation = heartbeat.incarnation != incarnation || respondedAtNs == 0L
        return copy(
            term = term,
            incarnation = heartbeat.incarnation,
            pendingLaunches = commands.filterIsInstance<WorkerCommand.Launch>(),
            respondedAtNs = nowNs,
            incarnationSinceNs = if (startsIncarnation) nowNs else incarnationSinceNs,
        )
    }

    /** Whether too many consecutive responses had no effect for the losses to be random. */
    val isUnreachable: Boolean get() = missedResponses >= MIN_UNREACHABLE_MISSES

    companion object {
        /** Occasional lost responses are normal; this many in a row are not. */
        private const val MIN_UNREACHABLE_MISSES = 4

        /** An expired lease counts as this many lost responses. */
        private const val EXPIRED_LEASE_WEIGHT = 2

        /**
         * A worker that gets no responses tries the controllers in turn, so its owner receives its heartbeats up to
         * this many leases apart.
         */
        private const val RECENT_LEASES = 4.0

        /** More than one lease, to allow for clock drift and for the latency of the first heartbeat. */
        private const val MIN_OUTLIVED_LEASES = 1.2

        /**
         * If more than this share of the workers that send heartbeats here miss responses, this controller is more
         * likely partitioned or overloaded.
         */
        const val MAX_UNREACHABLE_SHARE = 0.5
    }
}
