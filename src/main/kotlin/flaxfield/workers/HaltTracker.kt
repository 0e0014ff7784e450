package flaxfield.workers

/**
 * Immutable, without side effects: how often a worker has shown tasks of cancelled jobs although it was told to halt
 * them. A worker that receives a response carries out its commands, so the count should stay low. If it does not, only
 * the end of the worker's lease can still keep `cancel_s`.
 */
data class HaltTracker(
    private val incarnation: ULong = 0uL,
    private val sequenceNumber: ULong = 0uL,
    private val timesSent: Map<WorkerCommand.Halt, Int> = emptyMap(),
) {
    /** After [heartbeat], which is answered with [halts]. A copy of an old heartbeat changes nothing. */
    fun answered(heartbeat: Heartbeat, halts: List<WorkerCommand.Halt>): HaltTracker {
        if (!heartbeat.newerThan(incarnation, sequenceNumber)) return this
        val before = if (heartbeat.incarnation == incarnation) timesSent else emptyMap()
        return HaltTracker(
            heartbeat.incarnation,
            heartbeat.sequenceNumber,
            halts.associateWith { (before[it] ?: 0) + 1 },
        )
    }

    /** Whether halts had no effect more often than lost responses explain. */
    val haltsAreIgnored: Boolean get() = timesSent.values.any { it > MAX_SENT }

    private companion object {
        const val MAX_SENT = 3
    }
}
