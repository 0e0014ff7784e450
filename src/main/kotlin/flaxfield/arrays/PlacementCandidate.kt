package flaxfield.arrays

import flaxfield.fleet.Machine
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec
import flaxfield.jobs.MachineRoom
import flaxfield.jobs.Resources

/**
 * A machine as a candidate of placement attempts. [room] shrinks as an attempt assumes tasks on it, so a candidate must
 * only be used by the scheduler that created it, and within one scheduling cycle.
 */
class PlacementCandidate(
    val machine: Machine,
    /** The worker incarnation that a placement on this machine is bound to. */
    val incarnation: ULong,
    /** The room that is neither taken by a task record nor assumed by an attempt. */
    var room: MachineRoom,
    /** The images that are likely cached on the machine. */
    val images: Collection<String>,
    /** Whether the machine had no task records when the candidate was created. */
    val isEmpty: Boolean,
) {
    /** The free resources in [room]. */
    val free: Resources get() = room.resources

    /** Returns a copy for an attempt that assumes tasks independently; [room] replaces the room of this candidate. */
    fun copy(room: MachineRoom = this.room) = PlacementCandidate(machine, incarnation, room, images, isEmpty)

    /** Assumes [count] tasks of [spec] on the machine. */
    fun assume(spec: JobSpec, count: Int = 1) {
        room = room.minus(spec, count)
    }

    /** Withdraws [count] assumed tasks of [spec]. */
    fun release(spec: JobSpec, count: Int = 1) {
        room = room.plus(spec, count)
    }

    /** Returns the machine and worker incarnation that a task placed here is bound to. */
    fun target() = Job.Target(machine.name, incarnation)

    /** Whether tasks of [job] may be placed on the machine at [nowMs], regardless of its free resources. */
    fun admits(job: Job, nowMs: Long): Boolean = TopologyConstraint.allowsMachine(job.spec, machine) &&
        (job.failedMachines.isEmpty() || machine.name !in job.excludedMachines(nowMs))

    /** Whether one more task of [job] may be placed on the machine at [nowMs] and fits into its room. */
    fun fits(job: Job, nowMs: Long): Boolean = admits(job, nowMs) && room.canHold(job.spec)
}
