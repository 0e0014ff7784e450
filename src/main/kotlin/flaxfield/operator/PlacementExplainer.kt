package flaxfield.operator

import flaxfield.arrays.MachineHealth
import flaxfield.arrays.PlacementCandidate
import flaxfield.arrays.TopologyConstraint
import flaxfield.drain.FleetSnapshot
import flaxfield.fleet.Machine
import flaxfield.gangs.GangPlacement
import flaxfield.gangs.GangPlacementResult
import flaxfield.jobs.Job
import flaxfield.jobs.Resources

/** Pure: why no machine has been found for a job's pending tasks. */
internal class PlacementExplainer(private val snapshot: FleetSnapshot) {
    /** The first condition of placement that the pending tasks of [job] fail. */
    fun explain(job: Job): JobReason {
        val allowed = snapshot.machines.values.filter {
            TopologyConstraint.allowsMachineKind(job.spec, it.machineType, it.zone, it.preemptible)
        }
        if (allowed.isEmpty()) return JobReason("no_machine", "no machine of an allowed type, zone and kind is rented")
        val schedulable = allowed.filter {
            it.isSchedulable && snapshot.machineStatuses[it.name]?.state == MachineHealth.OK
        }
        if (schedulable.isEmpty()) {
            val drained = allowed.count { it.cordon != null }
            return JobReason(
                "no_open_machine",
                "of ${allowed.size} allowed machines none takes work now, $drained are drained",
            )
        }
        return explainRound(job, schedulable)
    }

    /** The result of one placement round over [machines]. */
    private fun explainRound(job: Job, machines: List<Machine>): JobReason {
        val candidates = candidates(machines)
        val round = GangPlacement.place(job, candidates.map { it.copy() })
        val fitting = candidates.sumOf { minOf(it.free.countFitting(job.spec.taskResources), job.pendingCount) }
        return when {
            job.isGang && round is GangPlacementResult.Infeasible -> JobReason(
                "no_room_for_gang",
                "${machines.size} machines take work, " +
                    "the round placed ${round.assumed} of ${job.spec.taskCount} tasks",
            )
            !job.isGang && fitting == 0 ->
                JobReason("no_room", "none of ${machines.size} machines that take work has room for a task")
            else -> JobReason(
                "turn",
                "there is room for $fitting tasks: others go first, or the placement is on its way",
            )
        }
    }

    /** The machines of a known type, with what their placed tasks leave free. */
    private fun candidates(machines: List<Machine>): List<PlacementCandidate> {
        val used = usedByMachine()
        return machines.mapNotNull { machine ->
            val capacity = snapshot.machineTypes[machine.machineType]?.capacity ?: return@mapNotNull null
            val free = capacity - (used[machine.name] ?: Resources.NONE)
            PlacementCandidate(machine, 0uL, free, emptyList(), machine.name !in used)
        }
    }

    private fun usedByMachine(): Map<String, Resources> {
        val used = HashMap<String, Resources>()
        for (job in snapshot.jobs.values) {
            for (placement in job.allPlaced()) {
                used.merge(placement.machineName, job.spec.taskResources, Resources::plus)
            }
        }
        return used
    }
}
