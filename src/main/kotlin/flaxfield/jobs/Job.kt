package flaxfield.jobs

import java.util.BitSet

/** An accepted job that is not over, as the store has it. JobChunk 0 lives in the head's key. */
data class Job(
    val spec: JobSpec,
    val submittedMs: Long,
    val cancelledMs: Long?,
    /** Hosts on which a task of this job ended with `error`. */
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
    val complete: Boolean get() = doneCount >= spec.taskCount

    /** Whether nothing is left to do: all tasks are done, or it is cancelled and no task is on a machine. */
    val isOver: Boolean get() = complete || (cancelled && placedCount == 0)
    val pendingCount: Int get() = spec.taskCount - doneCount - placedCount

    /** Whether any task of it has ever been placed. */
    val hasBegun: Boolean get() = chunks.values.any { it.next > 1L }
    val isGang: Boolean get() = spec.jobKind == JobKind.GANG

    /**
     * It failed on several machines, more often than it stands on others now, and no task of it has completed: most
     * likely it was submitted with a mistake. It is tried on and on, at nobody else's cost.
     */
    val isSuspect: Boolean get() = failedMachines.size >= TaskEventRules.MIN_FAILED_MACHINES_OF_FAULTY_JOB &&
        doneCount == 0 &&
        placedCount < failureCount

    /**
     * Whether it comes after all others: it is [isSuspect], and has not been due in vain since before
     * [overdueBeforeMs].
     */
    fun isDeprioritized(overdueBeforeMs: Long): Boolean = isSuspect && retryAtMs >= overdueBeforeMs

    fun chunk(index: Int): JobChunk = chunks[index / chunkTasks] ?: JobChunk.empty()

    fun placed(index: Int): Placement? = chunks[index / chunkTasks]?.placed?.get(index)

    fun isDone(index: Int): Boolean = chunks[index / chunkTasks]?.done?.get(index) ?: false

    fun allPlaced(): Sequence<Placement> = chunks.values.asSequence().flatMap { it.placed.values.asSequence() }

    /**
     * Indexes of tasks neither done nor placed, starting at [from] and wrapping round, in the chunks that are [open].
     * JobChunk by chunk: with a look-up for each of 25,000 tasks, a placement cost more than all else in its turn.
     */
    fun pending(from: Int = 0, open: (Int) -> Boolean = { true }): Sequence<Int> =
        pending(from, spec.taskCount, open) + pending(0, from, open)

    private fun pending(from: Int, until: Int, open: (Int) -> Boolean): Sequence<Int> = sequence {
        var i = from
        while (i < until) {
            val number = i / chunkTasks
            val end = minOf(until, (number + 1) * chunkTasks)
            if (open(number)) {
                val chunk = chunks[number] ?: JobChunk.empty()
                var next = chunk.done.nextClearBit(i)
                while (next < end) {
                    if (next !in chunk.placed) yield(next)
                    next = chunk.done.nextClearBit(next + 1)
                }
            }
            i = end
        }
    }

    fun withChunk(number: Int, chunk: JobChunk): Job = copy(chunks = chunks + (number to chunk))

    /** Records tasks as placed; each gets the chunk's next attempt. */
    fun place(where: Map<Int, Target>, attempt: Long? = null): Job {
        var job = this
        for ((number, part) in where.entries.groupBy { it.key / chunkTasks }) {
            val chunk = job.chunks[number] ?: JobChunk.empty()
            val used = attempt ?: chunk.next
            val added = part.associate { (i, h) -> i to Placement(i, used, h.name, h.incarnation, false) }
            job = job.withChunk(number, chunk.copy(next = used + 1, placed = chunk.placed + added))
        }
        return job
    }

    /** The attempt a whole gang gets: above all that any of its tasks had. */
    fun nextGangAttempt(): Long = chunks.values.maxOfOrNull { it.next } ?: 1L

    fun free(indexes: Collection<Int>): Job = edit(indexes) { c, i -> c.copy(placed = c.placed - i) }

    /** Notes that tasks were lost to their job, until they are known to run again. */
    fun interrupt(indexes: Collection<Int>): Job = edit(indexes) { c, i -> c.copy(interrupted = c.interrupted + i) }

    /** Notes that tasks run again. */
    fun restore(indexes: Collection<Int>): Job = edit(indexes) { c, i -> c.copy(interrupted = c.interrupted - i) }

    fun isInterrupted(index: Int): Boolean = chunks[index / chunkTasks]?.interrupted?.contains(index) ?: false

    fun stop(indexes: Collection<Int>): Job = edit(indexes) { c, i ->
        val p = c.placed[i]
        if (p == null) c else c.copy(placed = c.placed + (i to p.copy(stopping = true)))
    }

    /** Records tasks as completed, all those of a chunk in one step. */
    fun finish(indexes: Collection<Int>): Job {
        val next = HashMap(chunks)
        for ((number, part) in indexes.groupBy { it / chunkTasks }) {
            val c = next[number] ?: JobChunk.empty()
            val done = c.done.clone() as BitSet
            for (i in part) done.set(i)
            next[number] =
                c.copy(done = done, placed = c.placed - part.toSet(), interrupted = c.interrupted - part.toSet())
        }
        return copy(chunks = next)
    }

    /**
     * Whether a change of one chunk must be told in the head's key as well, since other chunks' changes depend on it.
     */
    val tasksAreCoupled: Boolean get() = isGang || spec.sameZone || spec.spreadAcrossZones

    /** Whether the head's own fields are those of [other]: all that the head's key holds besides chunk 0. */
    fun sameHead(other: Job): Boolean = cancelledMs == other.cancelledMs &&
        failedMachines == other.failedMachines &&
        failureCount == other.failureCount &&
        retryAtMs == other.retryAtMs

    private fun edit(indexes: Collection<Int>, change: (JobChunk, Int) -> JobChunk): Job {
        val next = HashMap(chunks)
        for (i in indexes) {
            val number = i / chunkTasks
            next[number] = change(next[number] ?: JobChunk.empty(), i)
        }
        return copy(chunks = next)
    }

    /** Where a task is put: a host and the session its worker last reported. */
    data class Target(val name: String, val incarnation: ULong)
}
