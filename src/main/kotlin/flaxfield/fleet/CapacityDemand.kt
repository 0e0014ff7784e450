package flaxfield.fleet

import flaxfield.jobs.JobSpec

/** A demand for the capacity to run [tasks] more pending or expected tasks like those of [spec]. */
data class CapacityDemand(
    val spec: JobSpec,
    val tasks: Int,
    /** Whether it has waited so long that on-demand machines may be rented although it could use spot machines. */
    val isUrgent: Boolean = false,
    /** Whether it has waited so long that it may use any existing machine, even one reserved for other jobs. */
    val isStarved: Boolean = false,
    /** The existing machines that its tasks may not use, see [flaxfield.jobs.Job.excludedMachines]. */
    val excludedMachines: Set<String> = emptySet(),
    /** Whether free machines are kept for a gang while the others that it needs can't be rented. */
    val mayHoldMachines: Boolean = true,
    /** Whether it may use existing on-demand machines. */
    val mayUseOnDemand: Boolean = true,
    /** The zones of the job's placed tasks that constrain the others, one entry per task. */
    val placedZones: List<String> = emptyList(),
)
