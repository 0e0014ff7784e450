package flaxfield.workers

/**
 * Pure: whether our answers reach a worker. Its reports may arrive while answers and commands do not: such
 * a machine looks alive, starts nothing, and loses its tasks with each lease.
 */
data class ResponseReachability(
    private val term: ULong = 0uL,
    private val incarnation: ULong = 0uL,
    private val launched: List<WorkerCommand.Launch> = emptyList(),
    private val answeredNs: Long = 0,
    /** When its present session was first reported to us. */
    private val tenureNs: Long = 0,
    /** How much speaks against it since an answer last showed an effect. */
    val missed: Int = 0,
) {
    /** What a report newer than the one we answered last tells. */
    fun reported(r: Heartbeat, term: ULong, nowNs: Long, leaseNs: Double): ResponseReachability {
        if (answeredNs == 0L || term != this.term) return copy(missed = 0)
        return when {
            // Its lease ran out soon after an answer of ours. A cut or a hang does that once, and then it hears us.
            r.incarnation > incarnation ->
                copy(
                    missed = if (nowNs - answeredNs <
                        leaseNs * RECENT
                    ) {
                        missed + LOST_LEASE
                    } else {
                        0
                    },
                )
            r.fencingToken < term -> copy(missed = missed + 1)
            // It has outlived a lease in this session: an answer must have renewed it.
            nowNs - tenureNs > leaseNs * OUTLIVED -> copy(missed = 0)
            launched.isEmpty() -> this
            launched.any { l ->
                r.tasks.any { it.job == l.job && it.index == l.index && it.attempt == l.attempt }
            } -> copy(missed = 0)
            else -> copy(missed = missed + 1)
        }
    }

    fun answered(r: Heartbeat, term: ULong, commands: List<WorkerCommand>, nowNs: Long): ResponseReachability = copy(
        term = term,
        incarnation = r.incarnation,
        launched = commands.filterIsInstance<WorkerCommand.Launch>(),
        answeredNs = nowNs,
        tenureNs = if (r.incarnation != incarnation || answeredNs == 0L) nowNs else tenureNs,
    )

    val deaf: Boolean get() = missed >= DEAF

    companion object {
        /** So much in a row is no chance: answers are lost now and then. */
        const val DEAF = 4

        /** A lease that ran out weighs as much as two reports. */
        private const val LOST_LEASE = 2

        /** A worker that gets no answers tries one node after another: its reports to its owner are this far apart. */
        private const val RECENT = 4.0

        /** The clocks of both sides, and the way of the first report. */
        private const val OUTLIVED = 1.2

        /**
         * If more than this share of the machines that report to us seem deaf, it is rather we who are cut off,
         * or too slow to be heard.
         */
        const val MAX_DEAF = 0.5
    }
}
