package flaxfield.fleet

import flaxfield.jobs.JobSpec

/** Queued work as the capacity planner sees it: [tasks] more tasks like those of [spec]. */
data class CapacityDemand(
    val spec: JobSpec,
    val tasks: Int,
    /** It has waited so long that on-demand machines may be rented although spot machines would do. */
    val isUrgent: Boolean = false,
    /** It has waited so long that it may use any existing machine, also one that is reserved for other jobs. */
    val isStarved: Boolean = false,
)
