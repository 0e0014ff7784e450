package flaxfield.drain

import flaxfield.jobs.Job

/** Tasks that are evicted together or not at all: all tasks of a gang, or one task of an array. */
data class DisruptionUnit(val job: Job, val tasks: List<Int>) {
    val team: String get() = job.spec.team

    /** The capacity that all tasks of the unit take together. */
    val capacity: Capacity get() = Capacity.of(job.spec) * tasks.size

    /** Whether the unit has a placed task that is not stopping yet, and its job is not cancelled. */
    val isStoppable: Boolean get() = !job.cancelled && tasks.any { job.placed(it)?.stopping == false }

    /** Whether a task of the unit is stopping, or the job has tasks that are not placed. */
    val isDisrupted: Boolean
        get() = tasks.any { job.placed(it)?.stopping ?: false } || job.placedCount < job.spec.taskCount
}
