package flaxfield.jobs

import java.util.BitSet

/**
 * The records of a fixed range of a job's tasks, which share one value in the store. Immutable: changes are made on a
 * copy, also of [done].
 *
 * @property next the next attempt number: it only grows, so that no task ever gets an attempt twice
 * @property done indexes of completed tasks
 * @property placed where tasks are, by index
 */
data class JobChunk(
    val next: Long,
    val done: BitSet,
    val placed: Map<Int, Placement>,
    val version: ULong,
    /**
     * Tasks that left a machine without completing and are not yet known to run again. Kept only where disruption
     * budgets are on: in the record, so that a new leader knows of losses that it has not seen.
     */
    val interrupted: Set<Int> = emptySet(),
) {
    companion object {
        /** The records of tasks that were never placed; not in the store yet. */
        fun empty() = JobChunk(1, BitSet(), emptyMap(), 0uL)
    }
}
