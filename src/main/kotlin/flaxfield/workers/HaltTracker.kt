package flaxfield.workers

/**
 * Pure: how often a worker has shown tasks of cancelled jobs though it was told to halt them. A worker that takes an
 * answer carries out its orders, so that this should never come to anything; if it does, the end of its lease is the
 * last way to keep the promise of `cancel_s`.
 */
data class HaltTracker(
    private val incarnation: ULong = 0uL,
    private val sequenceNumber: ULong = 0uL,
    private val shown: Map<WorkerCommand.Halt, Int> = emptyMap(),
) {
    /** After report [r], which is answered with [halts]. A copy of an old report tells nothing. */
    fun answered(r: Heartbeat, halts: List<WorkerCommand.Halt>): HaltTracker = when {
        !r.newerThan(incarnation, sequenceNumber) -> this
        r.incarnation != incarnation -> HaltTracker(r.incarnation, r.sequenceNumber, halts.associateWith { 1 })
        else -> HaltTracker(r.incarnation, r.sequenceNumber, halts.associateWith { (shown[it] ?: 0) + 1 })
    }

    /** Whether halts did not help: one answer or two may be lost. */
    val helpless: Boolean get() = shown.values.any { it > MAX_LOST }

    private companion object {
        const val MAX_LOST = 3
    }
}
