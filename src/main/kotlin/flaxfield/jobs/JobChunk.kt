package flaxfield.jobs

import java.util.BitSet

/**
 * The records of a fixed range of a job's tasks, which share one value in the store. Immutable: every change makes a
 * copy, also of [done].
 *
 * @property nextAttempt the next attempt number; it only grows, so that no task gets the same number twice
 * @property done the indexes of completed tasks
 * @property placed the placements of tasks, by index
 */
data class JobChunk(
    val nextAttempt: Long,
    val done: BitSet,
    val placed: Map<Int, Placement>,
    val version: ULong,
    /**
     * Tasks that left a machine without completing and are not yet known to run again. Recorded only if disruption
     * budgets are enabled, so that a new leader learns of losses that it did not observe.
     */
    val interrupted: Set<Int> = emptySet(),
) {
    /** The number of placed tasks that must stop. */
    val stoppingCount: Int by lazy(LazyThreadSafetyMode.NONE) { placed.values.count { it.stopping } }

    /** Returns this chunk with the placements of [indexes] stopping; the same object if all of them are already. */
    fun stop(indexes: Set<Int>): JobChunk {
        if (stoppingCount == placed.size) return this
        if (indexes.all { placed[it]?.stopping ?: true }) return this
        return copy(
            placed = placed.mapValues { (index, placement) ->
                if (index in indexes && !placement.stopping) placement.copy(stopping = true) else placement
            },
        )
    }

    companion object {
        /** Returns the chunk of tasks that were never placed; it is not in the store yet. */
        fun empty() = JobChunk(1, BitSet(), emptyMap(), 0uL)
    }
}
