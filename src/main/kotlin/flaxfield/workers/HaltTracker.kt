package flaxfield.workers

/**
 * Counts the halts of cancelled tasks that a worker was sent and that had no effect. Immutable.
 *
 * A worker executes the commands of every response that it receives, so the counts should stay low. Otherwise, only
 * the expiry of the worker's lease can still meet the `cancel_s` limit.
 */
data class HaltTracker(
    private val incarnation: ULong = 0uL,
    private val sequenceNumber: ULong = 0uL,
    private val haltCounts: Map<WorkerCommand.Halt, Int> = emptyMap(),
) {
    /** Returns the state after [heartbeat] is answered with [halts]; a delayed duplicate changes nothing. */
    fun afterResponse(heartbeat: Heartbeat, halts: List<WorkerCommand.Halt>): HaltTracker {
        if (!heartbeat.isNewerThan(incarnation, sequenceNumber)) return this
        val before = if (heartbeat.incarnation == incarnation) haltCounts else emptyMap()
        return HaltTracker(
            heartbeat.incarnation,
            heartbeat.sequenceNumber,
            halts.associateWith { (before[it] ?: 0) + 1 },
        )
    }

    /** Whether halts had no effect more often than lost responses can explain. */
    val haltsAreIgnored: Boolean get() = haltCounts.values.any { it > MAX_HALTS_WITHOUT_EFFECT }

    private companion object {
        const val MAX_HALTS_WITHOUT_EFFECT = 3
    }
}
