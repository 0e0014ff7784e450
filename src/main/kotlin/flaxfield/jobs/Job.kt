package flaxfield.jobs

import java.util.BitSet

enum class JobKind {
    ARRAY,
    GANG,

    /** Independent tasks that run until their user cancels them; placed like an array's. */
    SERVICE,
}

/** From the least to the most urgent; a later one may preempt an earlier one. */
enum class Priority { IDLE, STANDARD, HIGH, PROD }

/** What one task takes of its machine, or what a machine has. */
data class Resources(val cpus: Double, val gpus: Double, val ram: Double) {
    operator fun plus(o: Resources) = Resources(cpus + o.cpus, gpus + o.gpus, ram + o.ram)

    operator fun minus(o: Resources) = Resources(cpus - o.cpus, gpus - o.gpus, ram - o.ram)

    operator fun times(n: Int) = Resources(cpus * n, gpus * n, ram * n)

    /** Whether a task of size [taskResources] fits in here. */
    fun canHold(taskResources: Resources): Boolean = cpus + EPSILON >= taskResources.cpus &&
        gpus + EPSILON >= taskResources.gpus &&
        ram + EPSILON >= taskResources.ram

    /** How many tasks of size [taskResources] fit in here. */
    fun countFitting(taskResources: Resources): Int =
        minOf(parts(cpus, taskResources.cpus), parts(gpus, taskResources.gpus), parts(ram, taskResources.ram))

    private fun parts(have: Double, taskResources: Double): Int =
        if (taskResources <= 0.0) Int.MAX_VALUE else ((have + EPSILON) / taskResources).toInt().coerceAtLeast(0)

    companion object {
        val NONE = Resources(0.0, 0.0, 0.0)

        /** Amounts are decimal numbers: sums of a few of them must not fail on the last bit. */
        private const val EPSILON = 1e-6
    }
}

/** What a user submitted; it never changes. */
data class JobSpec(
    val id: String,
    val jobClass: String,
    val team: String,
    val jobKind: JobKind,
    val priority: Priority,
    val taskCount: Int,
    val taskResources: Resources,
    val image: String,
    val imageGb: Double,
    val machineTypes: Set<String>?,
    val zone: String?,
    val sameZone: Boolean,
    val spreadAcrossZones: Boolean,
    val preemptible: Boolean,
    val expectedRuntimeS: Double,
    val checkpointIntervalS: Double,
    val checkpointDurationS: Double,
    val deadlineS: Double?,
)

/** A task's recorded place: it may be on [machineName] until proof that it left. */
data class Placement(
    val index: Int,
    val attempt: Long,
    val machineName: String,
    val incarnation: ULong,
    val stopping: Boolean,
)

/**
 * The records of up to `chunkTasks` tasks. [next] is the next attempt number: it only grows, so that no
 * task ever gets an attempt twice. [done] is treated as immutable: changes are made on a clone.
 */
data class Chunk(
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
        fun empty() = Chunk(1, BitSet(), emptyMap(), 0uL)
    }
}

/** An accepted job that is not over, as the store has it. Chunk 0 lives in the head's key. */
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
    val chunks: Map<Int, Chunk>,
    val version: ULong,
) {
    val id: String get() = spec.id
    val cancelled: Boolean get() = cancelledMs != null
    val doneCount: Int by lazy(LazyThreadSafetyMode.NONE) { chunks.values.sumOf { it.done.cardinality() } }
    val placedCount: Int by lazy(LazyThreadSafetyMode.NONE) { chunks.values.sumOf { it.placed.size } }
    val complete: Boolean get() = doneCount >= spec.taskCount
    val pendingCount: Int get() = spec.taskCount - doneCount - placedCount

    /** Whether any task of it has ever been placed. */
    val hasBegun: Boolean get() = chunks.values.any { it.next > 1L }
    val isGang: Boolean get() = spec.jobKind == JobKind.GANG

    /**
     * It failed on several machines, more often than it stands on others now, and no task of it has completed: most
     * likely it was submitted with a mistake. It is tried on and on, at nobody else's cost.
     */
    val isSuspect: Boolean get() = failedMachines.size >= TaskEventRules.FAULTY_JOB_HOSTS &&
        doneCount == 0 &&
        placedCount < failureCount

    /**
     * Whether it comes after all others: it is [isSuspect], and has not been due in vain since before
     * [overdueBeforeMs].
     */
    fun isDeprioritized(overdueBeforeMs: Long): Boolean = isSuspect && retryAtMs >= overdueBeforeMs

    fun chunk(index: Int): Chunk = chunks[index / chunkTasks] ?: Chunk.empty()

    fun placed(index: Int): Placement? = chunks[index / chunkTasks]?.placed?.get(index)

    fun isDone(index: Int): Boolean = chunks[index / chunkTasks]?.done?.get(index) ?: false

    fun allPlaced(): Sequence<Placement> = chunks.values.asSequence().flatMap { it.placed.values.asSequence() }

    /**
     * Indexes of tasks neither done nor placed, starting at [from] and wrapping round, in the chunks that are [open].
     * Chunk by chunk: with a look-up for each of 25,000 tasks, a placement cost more than all else in its turn.
     */
    fun pending(from: Int = 0, open: (Int) -> Boolean = { true }): Sequence<Int> =
        pending(from, spec.taskCount, open) + pending(0, from, open)

    private fun pending(from: Int, until: Int, open: (Int) -> Boolean): Sequence<Int> = sequence {
        var i = from
        while (i < until) {
            val number = i / chunkTasks
            val end = minOf(until, (number + 1) * chunkTasks)
            if (open(number)) {
                val chunk = chunks[number] ?: Chunk.empty()
                var next = chunk.done.nextClearBit(i)
                while (next < end) {
                    if (next !in chunk.placed) yield(next)
                    next = chunk.done.nextClearBit(next + 1)
                }
            }
            i = end
        }
    }

    fun withChunk(number: Int, chunk: Chunk): Job = copy(chunks = chunks + (number to chunk))

    /** Records tasks as placed; each gets the chunk's next attempt. */
    fun place(where: Map<Int, Target>, attempt: Long? = null): Job {
        var job = this
        for ((number, part) in where.entries.groupBy { it.key / chunkTasks }) {
            val chunk = job.chunks[number] ?: Chunk.empty()
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
            val c = next[number] ?: Chunk.empty()
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

    private fun edit(indexes: Collection<Int>, change: (Chunk, Int) -> Chunk): Job {
        val next = HashMap(chunks)
        for (i in indexes) {
            val number = i / chunkTasks
            next[number] = change(next[number] ?: Chunk.empty(), i)
        }
        return copy(chunks = next)
    }

    /** Where a task is put: a host and the session its worker last reported. */
    data class Target(val name: String, val incarnation: ULong)
}

/** A job that is over, in its compact form. */
data class FinishedJob(val id: String, val aborted: Boolean, val done: Int)
