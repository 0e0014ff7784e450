package flaxfield.jobs

import java.util.BitSet

/** An accepted job that is not over, as the store has it. Immutable. JobChunk 0 is stored in the head's key. */
data class Job(
    val spec: JobSpec,
    val submittedMs: Long,
    val cancelledMs: Long?,
    /** Machines on which a task of this job ended with an error, the latest last. */
    val failedMachines: List<String>,
    val failureCount: Int,
    /** No task is placed before this time of day: set when the job fails on one machine after another. */
    val retryAtMs: Long,
    val chunkTasks: Int,
    val chunks: Map<Int, JobChunk>,
    val version: ULong,
) {
    val id: String get() = spec.id
    val cancelled: Boolean get() = cancelledMs != null
    val doneCount: Int by lazy(LazyThreadSafetyMode.NONE) { chunks.values.sumOf { it.done.cardinality() } }
    val placedCount: Int by lazy(LazyThreadSafetyMode.NONE) { chunks.values.sumOf { it.placed.size } }
    val pendingCount: Int get() = spec.taskCount - doneCount - placedCount

    /** Whether all tasks are done. */
    val complete: Boolean get() = doneCount >= spec.taskCount

    /** Whether nothing is left to do: all tasks are done, or it is cancelled and no task is on a machine. */
    val isOver: Boolean get() = complete || (cancelled && placedCount == 0)

    /** Whether any task of it has ever been placed. */
    val wasPlaced: Boolean get() = chunks.values.any { it.next > 1L }
    val isGang: Boolean get() = spec.jobKind == JobKind.GANG

    /**
     * Whether it was most likely submitted with a mistake: it failed on several machines, more often than tasks of it
     * are on others now, and no task has completed. It is retried without end, after all other jobs.
     */
    val isCrashLooping: Boolean get() = failedMachines.size >= TaskEventRules.MIN_FAILED_MACHINES_OF_FAULTY_JOB &&
        doneCount == 0 &&
        placedCount < failureCount

    /** Whether it comes after all others: it [isCrashLooping], and its retry is not overdue since [overdueBeforeMs]. */
    fun isDeprioritized(overdueBeforeMs: Long): Boolean = isCrashLooping && retryAtMs >= overdueBeforeMs

    /** The chunk with the task at [index]. */
    fun chunk(index: Int): JobChunk = chunks[index / chunkTasks] ?: JobChunk.empty()

    /** Where the task at [index] is placed; null if it is not. */
    fun placed(index: Int): Placement? = chunks[index / chunkTasks]?.placed?.get(index)

    /** Whether the task at [index] has completed. */
    fun isDone(index: Int): Boolean = chunks[index / chunkTasks]?.done?.get(index) ?: false

    /** Whether the task at [index] was lost and is not known to run again. */
    fun isInterrupted(index: Int): Boolean = chunks[index / chunkTasks]?.interrupted?.contains(index) ?: false

    /** Where all placed tasks are, chunk by chunk. */
    fun allPlaced(): Sequence<Placement> = chunks.values.asSequence().flatMap { it.placed.values.asSequence() }

    /**
     * Indexes of tasks neither done nor placed, starting at [from] and wrapping round, in the chunks that [open]
     * admits. Goes chunk by chunk: a look-up for each task of a large array would dominate a scheduling cycle.
     */
    fun pending(from: Int = 0, open: (Int) -> Boolean = { true }): Sequence<Int> =
        pending(from, spec.taskCount, open) + pending(0, from, open)

    private fun pending(from: Int, until: Int, open: (Int) -> Boolean): Sequence<Int> = sequence {
        var index = from
        while (index < until) {
            val number = index / chunkTasks
            val end = minOf(until, (number + 1) * chunkTasks)
            if (open(number)) {
                val chunk = chunks[number] ?: JobChunk.empty()
                var next = chunk.done.nextClearBit(index)
                while (next < end) {
                    if (next !in chunk.placed) yield(next)
                    next = chunk.done.nextClearBit(next + 1)
                }
            }
            index = end
        }
    }

    /** This job with its chunk [number] replaced. */
    fun withChunk(number: Int, chunk: JobChunk): Job = copy(chunks = chunks + (number to chunk))

    /** Records tasks as placed, by index. They get [attempt], or else each the next one of its chunk. */
    fun place(targets: Map<Int, Target>, attempt: Long? = null): Job {
        var job = this
        for ((number, inChunk) in targets.entries.groupBy { it.key / chunkTasks }) {
            val chunk = job.chunks[number] ?: JobChunk.empty()
            val used = attempt ?: chunk.next
            val added = inChunk.associate { (index, target) ->
                index to Placement(index, used, target.name, target.incarnation, stopping = false)
            }
            job = job.withChunk(number, chunk.copy(next = used + 1, placed = chunk.placed + added))
        }
        return job
    }

    /** The attempt that a whole gang gets: above all that any of its tasks had. */
    fun nextGangAttempt(): Long = chunks.values.maxOfOrNull { it.next } ?: 1L

    /** Records tasks as not placed. */
    fun free(indexes: Collection<Int>): Job = edit(indexes) { chunk, index ->
        chunk.copy(placed = chunk.placed - index)
    }

    /** Records that tasks were lost to their job, until they are known to run again. */
    fun interrupt(indexes: Collection<Int>): Job = edit(indexes) { chunk, index ->
        chunk.copy(interrupted = chunk.interrupted + index)
    }

    /** Records that interrupted tasks run again. */
    fun restore(indexes: Collection<Int>): Job = edit(indexes) { chunk, index ->
        chunk.copy(interrupted = chunk.interrupted - index)
    }

    /** Records that placed tasks are to stop. */
    fun stop(indexes: Collection<Int>): Job = edit(indexes) { chunk, index ->
        val placement = chunk.placed[index]
        if (placement == null) chunk else chunk.copy(placed = chunk.placed + (index to placement.copy(stopping = true)))
    }

    /** Records tasks as completed, all those of a chunk in one step. */
    fun finish(indexes: Collection<Int>): Job {
        val next = HashMap(chunks)
        for ((number, inChunk) in indexes.groupBy { it / chunkTasks }) {
            val chunk = next[number] ?: JobChunk.empty()
            val done = chunk.done.clone() as BitSet
            for (index in inChunk) done.set(index)
            val finished = inChunk.toSet()
            next[number] = chunk.copy(
                done = done,
                placed = chunk.placed - finished,
                interrupted = chunk.interrupted - finished,
            )
        }
        return copy(chunks = next)
    }

    /** Whether a change of one chunk must be written to the head's key as well, since other chunks depend on it. */
    val tasksAreCoupled: Boolean get() = isGang || spec.sameZone || spec.spreadAcrossZones

    /** Whether the head's own fields are those of [other]: all that the head's key holds besides chunk 0. */
    fun sameHead(other: Job): Boolean = cancelledMs == other.cancelledMs &&
        failedMachines == other.failedMachines &&
        failureCount == other.failureCount &&
        retryAtMs == other.retryAtMs

    private fun edit(indexes: Collection<Int>, change: (JobChunk, Int) -> JobChunk): Job {
        val next = HashMap(chunks)
        for (index in indexes) {
            val number = index / chunkTasks
            next[number] = change(next[number] ?: JobChunk.empty(), index)
        }
        return copy(chunks = next)
    }

    /** Where a task is put: a machine, and the incarnation that its worker last reported. */
    data class Target(val name: String, val incarnation: ULong)
}
