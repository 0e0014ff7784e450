package flaxfield.arrays

import flaxfield.fleet.Machine
import flaxfield.jobs.Job
import flaxfield.jobs.Resources

/**
 * A machine as one placement attempt sees it. [free] and [taskSlots] shrink as the attempt assumes tasks on it, so a
 * candidate belongs to the scheduler that made it and must not be kept beyond one scheduling cycle.
 */
class PlacementCandidate(
    val machine: Machine,
    /** The agent incarnation that a placement on this machine is bound to. */
    val incarnation: ULong,
    /** Resources that are neither taken by a task record nor assumed by this attempt. */
    var free: Resources,
    /** Images that the machine likely holds. */
    val images: Collection<String>,
    /** Whether no task record was on the machine when the candidate was made. */
    val isEmpty: Boolean,
    /** How many more tasks fit into one heartbeat of this machine. */
    var taskSlots: Int = Int.MAX_VALUE,
) {
    /** The same machine for an attempt with assumptions of its own. */
    fun copy() = PlacementCandidate(machine, incarnation, free, images, isEmpty, taskSlots)

    /** What a task that is placed here is bound to. */
    fun target() = Job.Target(machine.name, incarnation)

    /** Whether one more task of [job] may run here and fits into what is free. */
    fun fits(job: Job): Boolean = TopologyConstraint.allowsMachine(job.spec, machine) &&
        machine.name !in job.failedMachines &&
        free.canHold(job.spec.taskResources)
}
