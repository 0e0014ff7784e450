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

/** Explains why a job's pending tasks are not placed. Pure. */
internal class PlacementExplainer(private val snapshot: FleetSnapshot) {
    /** Returns the first placement condition that the pending tasks of [job] do not meet. */
    fun explain(job: Job): JobReason {
        val allowed = snapshot.machines.values.filter {
            TopologyConstraint.allowsMachineKind(job.spec, it.machineType, it.zone, it.preemptible)
        }
        if (allowed.isEmpty()) return JobReason("no_machine", "no machine of an allowed type, zone and kind is rented")
        val schedulable = allowed.filter {
            it.isSchedulable && snapshot.machineStatuses[it.name]?.health == MachineHealth.OK
        }
        if (schedulable.isEmpty()) {
            val drained = allowed.count { it.cordon != null }
            return JobReason(
                "no_open_machine",
                "none of ${allowed.size} allowed machines is schedulable; $drained are cordoned by drains",
            )
        }
        return explainPlacementRound(job, schedulable)
    }

    /** Explains the result of a placement round over [machines]. */
    private fun explainPlacementRound(job: Job, machines: List<Machine>): JobReason {
        val candidates = candidates(machines)
        val round = GangPlacement.place(job, candidates.map { it.copy() })
        val fitting = candidates.sumOf { minOf(it.free.countFitting(job.spec.taskResources), job.pendingCount) }
        return when {
            job.isGang && round is GangPlacementResult.Infeasible -> JobReason(
                "no_room_for_gang",
                "a placement round over ${machines.size} schedulable machines " +
                    "placed ${round.assumed} of ${job.spec.taskCount} tasks",
            )
            !job.isGang && fitting == 0 ->
                JobReason("no_room", "none of ${machines.size} schedulable machines has free resources for a task")
            else -> JobReason(
                "turn",
                "the free resources fit $fitting tasks: other jobs have precedence, or the placement is in progress",
            )
        }
    }

    /** Returns the machines of known types with the resources that their placed tasks leave free. */
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
