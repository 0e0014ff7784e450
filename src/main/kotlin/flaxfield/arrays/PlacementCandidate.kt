package flaxfield.arrays

import flaxfield.fleet.Machine
import flaxfield.jobs.Job
import flaxfield.jobs.Resources

/**
 * A machine as a candidate of placement attempts. [free] and [taskSlots] shrink as an attempt assumes tasks on it, so a
 * candidate must only be used by the scheduler that created it, and within one scheduling cycle.
 */
class PlacementCandidate(
    val machine: Machine,
    /** The worker incarnation that a placement on this machine is bound to. */
    val incarnation: ULong,
    /** The resources that are neither used by a task record nor assumed by an attempt. */
    var free: Resources,
    /** The images that are likely cached on the machine. */
    val images: Collection<String>,
    /** Whether the machine had no task records when the candidate was created. */
    val isEmpty: Boolean,
    /** The number of further tasks that the machine's heartbeat can report. */
    var taskSlots: Int = Int.MAX_VALUE,
) {
    /** Returns a copy for an attempt that assumes tasks independently. */
    fun copy() = PlacementCandidate(machine, incarnation, free, images, isEmpty, taskSlots)

    /** Returns the machine and worker incarnation that a task placed here is bound to. */
    fun target() = Job.Target(machine.name, incarnation)

    /** Whether tasks of [job] may be placed on the machine at [nowMs], regardless of its free resources. */
    fun admits(job: Job, nowMs: Long): Boolean = TopologyConstraint.allowsMachine(job.spec, machine) &&
        (job.failedMachines.isEmpty() || machine.name !in job.excludedMachines(nowMs))

    /** Whether one more task of [job] may be placed on the machine at [nowMs] and fits into its free resources. */
    fun fits(job: Job, nowMs: Long): Boolean = admits(job, nowMs) && free.canHold(job.spec.taskResources)
}
