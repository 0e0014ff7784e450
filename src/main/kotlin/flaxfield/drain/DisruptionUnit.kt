package flaxfield.drain

import flaxfield.jobs.Job

/** Tasks that are evicted together or not at all: a whole gang, or one task of an array. */
data class DisruptionUnit(val job: Job, val tasks: List<Int>) {
    val team: String get() = job.spec.team

    /** What all tasks of the unit take together. */
    val capacity: Capacity get() = Capacity.of(job.spec) * tasks.size

    /** Whether a task of it runs that may still be told to stop. */
    val isStoppable: Boolean get() = !job.cancelled && tasks.any { job.placed(it)?.stopping == false }

    /** Whether a task of it is stopping already, or not all tasks of its job are placed. */
    val isDisrupted: Boolean
        get() = tasks.any { job.placed(it)?.stopping ?: false } || job.placedCount < job.spec.taskCount
}
