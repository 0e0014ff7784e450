package flaxfield.workers

/**
 * Immutable, without side effects: whether our responses reach a worker. In a one-way network partition its heartbeats
 * arrive while responses and commands do not: such a machine looks alive, starts nothing, and loses its tasks with
 * each lease.
 */
data class ResponseReachability(
    private val term: ULong = 0uL,
    private val incarnation: ULong = 0uL,
    private val launched: List<WorkerCommand.Launch> = emptyList(),
    private val answeredNs: Long = 0,
    /** When its present incarnation first reported to us. */
    private val incarnationSinceNs: Long = 0,
    /** How many signs of lost responses there are since a response last showed an effect. */
    val missed: Int = 0,
) {
    /** After a heartbeat newer than the one answered last, in a [term] and with leases of [leaseNs]. */
    fun reported(heartbeat: Heartbeat, term: ULong, nowNs: Long, leaseNs: Double): ResponseReachability {
        if (answeredNs == 0L || term != this.term) return copy(missed = 0)
        return when {
            // Its lease ran out soon after a response of ours. A partition or a pause of the worker does that once;
            // then responses reach it.
            heartbeat.incarnation > incarnation -> {
                val answeredRecently = nowNs - answeredNs < leaseNs * RECENT_LEASES
                copy(missed = if (answeredRecently) missed + LOST_LEASE_WEIGHT else 0)
            }
            heartbeat.fencingToken < term -> copy(missed = missed + 1)
            // It has outlived a lease in this incarnation: a response must have renewed it.
            nowNs - incarnationSinceNs > leaseNs * OUTLIVED_LEASES -> copy(missed = 0)
            launched.isEmpty() -> this
            launched.any { isShown(it, heartbeat) } -> copy(missed = 0)
            else -> copy(missed = missed + 1)
        }
    }

    private fun isShown(launch: WorkerCommand.Launch, heartbeat: Heartbeat): Boolean = heartbeat.tasks.any {
        it.job == launch.job && it.index == launch.index && it.attempt == launch.attempt
    }

    /** After [heartbeat] is answered with [commands]. */
    fun answered(heartbeat: Heartbeat, term: ULong, commands: List<WorkerCommand>, nowNs: Long): ResponseReachability {
        val startsIncarnation = heartbeat.incarnation != incarnation || answeredNs == 0L
        return copy(
            term = term,
            incarnation = heartbeat.incarnation,
            launched = commands.filterIsInstance<WorkerCommand.Launch>(),
            answeredNs = nowNs,
            incarnationSinceNs = if (startsIncarnation) nowNs else incarnationSinceNs,
        )
    }

    /** Whether so many responses in a row had no effect that chance is ruled out. */
    val isUnreachable: Boolean get() = missed >= MAX_MISSED

    companion object {
        /** Single responses are lost now and then; as many as this in a row are not. */
        private const val MAX_MISSED = 4

        /** An expired lease weighs as much as two heartbeats. */
        private const val LOST_LEASE_WEIGHT = 2

        /** A worker without responses tries one controller after another: its owner hears it this far apart. */
        private const val RECENT_LEASES = 4.0

        /** Allows for both clocks and for the way of the first heartbeat. */
        private const val OUTLIVED_LEASES = 1.2

        /**
         * If more than this share of the workers that report to us miss responses, it is more likely that this
         * controller is cut off, or too slow.
         */
        const val MAX_UNREACHABLE_SHARE = 0.5
    }
}
