package flaxfield.jobs

import java.util.BitSet

/**
 * The records of up to `chunkTasks` tasks. [next] is the next attempt number: it only grows, so that no
 * task ever gets an attempt twice. [done] is treated as immutable: changes are made on a clone.
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
        fun empty() = JobChunk(1, BitSet(), emptyMap(), 0uL)
    }
}
