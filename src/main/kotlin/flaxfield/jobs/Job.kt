package flaxfield.jobs

import java.util.BitSet

/**
 * An accepted, unfinished job as the store records it. Immutable. The head record holds the fields of the job itself
 * and chunk 0; each further chunk has a record of its own.
 */
data class Job(
    val spec: JobSpec,
    val submittedMs: Long,
    val cancelledMs: Long?,
    /** Machines on which a task of this job ended with an error, the most recent last; see [excludedMachines]. */
    val failedMachines: List<String>,
    val failureCount: Int,
    /** Wall-clock time before which no task is placed; set when the job fails on one machine after another. */
    val retryAtMs: Long,
    val chunkTasks: Int,
    val chunks: Map<Int, JobChunk>,
    val version: ULong,
    /** Wall-clock time of the latest failure; 0 if there is none, or if an earlier build recorded it. */
    val failedAtMs: Long = 0,
) {
    val id: String get() = spec.id
    val cancelled: Boolean get() = cancelledMs != null
    val doneCount: Int by lazy(LazyThreadSafetyMode.NONE) { chunks.values.sumOf { it.done.cardinality() } }
    val placedCount: Int by lazy(LazyThreadSafetyMode.NONE) { chunks.values.sumOf { it.placed.size } }
    val pendingCount: Int get() = spec.taskCount - doneCount - placedCount

    /** Whether all tasks have completed. */
    val complete: Boolean get() = doneCount >= spec.taskCount

    /** Whether nothing is left to do: all tasks have completed, or the job is cancelled and no task is placed. */
    val isFinished: Boolean get() = complete || (cancelled && placedCount == 0)

    /** Whether any task has ever been placed. */
    val wasPlaced: Boolean get() = chunks.values.any { it.nextAttempt > 1L }
    val isGang: Boolean get() = spec.jobKind == JobKind.GANG

    /**
     * Whether the job crash-loops: it failed on several machines, more often than it has tasks placed now, and no task
     * has completed. The job itself is then most likely faulty. It is retried indefinitely, after all other jobs.
     */
    val isCrashLooping: Boolean get() = failedMachines.size >= TaskEventRules.MIN_FAILED_MACHINES_OF_CRASH_LOOP &&
        doneCount == 0 &&
        placedCount < failureCount

    /**
     * Returns the machines on which no task may be placed at [nowMs]: those where a task failed, until
     * [MACHINE_EXCLUSION_MS] after the latest failure. The schedulers and the capacity plan must both apply this rule.
     * Otherwise the plan counts resources for the job that it may not use, and rents no other machine.
     */
    fun excludedMachines(nowMs: Long): Set<String> =
        if (nowMs - failedAtMs < MACHINE_EXCLUSION_MS) failedMachines.toSet() else emptySet()

    /** Whether the job comes after all others: it crash-loops, and its retry was not due before [overdueBeforeMs]. */
    fun isDeprioritized(overdueBeforeMs: Long): Boolean = isCrashLooping && retryAtMs >= overdueBeforeMs

    /** Returns the chunk that holds the task at [index]. */
    fun chunk(index: Int): JobChunk = chunks[index / chunkTasks] ?: JobChunk.empty()

    /** Returns the placement of the task at [index], or null if it is not placed. */
    fun placed(index: Int): Placement? = chunks[index / chunkTasks]?.placed?.get(index)

    /** Whether the task at [index] has completed. */
    fun isDone(index: Int): Boolean = chunks[index / chunkTasks]?.done?.get(index) ?: false

    /** Whether the task at [index] was lost and is not yet known to run again. */
    fun isInterrupted(index: Int): Boolean = chunks[index / chunkTasks]?.interrupted?.contains(index) ?: false

    /** Whether any placed task must stop. */
    val hasStoppingTasks: Boolean get() = chunks.values.any { it.stoppingCount > 0 }

    /** Returns all placements, chunk by chunk. */
    fun allPlaced(): Sequence<Placement> = chunks.values.asSequence().flatMap { it.placed.values.asSequence() }

    /**
     * Returns the indexes of tasks that are neither completed nor placed, in the chunks that [includesChunk] admits.
     * They start at [from] and wrap around. The search goes chunk by chunk: a map lookup for each task of a large array
     * would dominate a scheduling cycle.
     */
    fun pending(from: Int = 0, includesChunk: (Int) -> Boolean = { true }): Sequence<Int> =
        pending(from, spec.taskCount, includesChunk) + pending(0, from, includesChunk)

    private fun pending(from: Int, until: Int, includesChunk: (Int) -> Boolean): Sequence<Int> = sequence {
        var index = from
        while (index < until) {
            val number = index / chunkTasks
            val end = minOf(until, (number + 1) * chunkTasks)
            if (includesChunk(number)) {
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

    /** Returns this job with chunk [number] replaced. */
    fun withChunk(number: Int, chunk: JobChunk): Job = copy(chunks = chunks + (number to chunk))

    /** Records the tasks with the indexes in [targets] as placed, with [attempt] or else their chunk's next attempt. */
    fun place(targets: Map<Int, Target>, attempt: Long? = null): Job {
        var job = this
        for ((number, inChunk) in targets.entries.groupBy { it.key / chunkTasks }) {
            val chunk = job.chunks[number] ?: JobChunk.empty()
            val assignedAttempt = attempt ?: chunk.nextAttempt
            val added = inChunk.associate { (index, target) ->
                index to Placement(index, assignedAttempt, target.name, target.incarnation, stopping = false)
            }
            job = job.withChunk(number, chunk.copy(nextAttempt = assignedAttempt + 1, placed = chunk.placed + added))
        }
        return job
    }

    /** Returns the next attempt number of a gang, which is higher than that of any earlier attempt of its tasks. */
    fun nextGangAttempt(): Long = chunks.values.maxOfOrNull { it.nextAttempt } ?: 1L

    /** Records tasks as no longer placed. */
    fun free(indexes: Collection<Int>): Job = updateChunks(indexes) { chunk, inChunk ->
        chunk.copy(placed = chunk.placed - inChunk)
    }

    /** Records tasks as interrupted: they were lost and are not yet known to run again. */
    fun interrupt(indexes: Collection<Int>): Job = updateChunks(indexes) { chunk, inChunk ->
        chunk.copy(interrupted = chunk.interrupted + inChunk)
    }

    /** Records tasks as no longer interrupted, since they run again. */
    fun restore(indexes: Collection<Int>): Job = updateChunks(indexes) { chunk, inChunk ->
        chunk.copy(interrupted = chunk.interrupted - inChunk)
    }

    /** Records that placed tasks must stop. Chunks in which this changes nothing stay the same objects. */
    fun stop(indexes: Collection<Int>): Job = updateChunks(indexes) { chunk, inChunk -> chunk.stop(inChunk) }

    /** Records that all placed tasks must stop. Chunks in which this changes nothing stay the same objects. */
    fun stopAll(): Job = copy(chunks = chunks.mapValues { (_, chunk) -> chunk.stop(chunk.placed.keys) })

    /** Records tasks as completed. */
    fun finish(indexes: Collection<Int>): Job = updateChunks(indexes) { chunk, inChunk ->
        val done = chunk.done.clone() as BitSet
        for (index in inChunk) done.set(index)
        chunk.copy(done = done, placed = chunk.placed - inChunk, interrupted = chunk.interrupted - inChunk)
    }

    /** Whether the placement of one task constrains the others: then a change of any chunk must also write the head. */
    val tasksAreCoupled: Boolean get() = isGang || spec.sameZone || spec.spreadAcrossZones

    /** Whether the head record of [other] differs at most in chunk 0. */
    fun sameHead(other: Job): Boolean = cancelledMs == other.cancelledMs &&
        failedMachines == other.failedMachines &&
        failureCount == other.failureCount &&
        retryAtMs == other.retryAtMs &&
        failedAtMs == other.failedAtMs

    /** Applies [change] once to each chunk that holds any of [indexes], together with its part of them. */
    private fun updateChunks(indexes: Collection<Int>, change: (JobChunk, Set<Int>) -> JobChunk): Job {
        val next = HashMap(chunks)
        for ((number, inChunk) in indexes.groupBy { it / chunkTasks }) {
            next[number] = change(next[number] ?: JobChunk.empty(), inChunk.toHashSet())
        }
        return copy(chunks = next)
    }

    /** The machine to place a task on, and the incarnation that its worker last reported. */
    data class Target(val name: String, val incarnation: ULong)

    companion object {
        /**
         * How long a job avoids the machines where it failed. This is enough for an attempt elsewhere. After that, it
         * has half of the 90 s left within which a job must start if a machine has free resources.
         */
        const val MACHINE_EXCLUSION_MS = 45_000L
    }
}
