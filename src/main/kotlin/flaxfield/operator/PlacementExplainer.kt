package flaxfield.operator

import flaxfield.MILLIS_PER_SECOND
import flaxfield.arrays.MachineHealth
import flaxfield.arrays.PlacementCandidate
import flaxfield.arrays.TopologyConstraint
import flaxfield.drain.FleetSnapshot
import flaxfield.fleet.Machine
import flaxfield.gangs.GangPlacement
import flaxfield.gangs.GangPlacementResult
import flaxfield.jobs.Job
import flaxfield.jobs.MachineRoom

/** Explains why a job's pending tasks are not placed at [nowMs]. Pure. */
internal class PlacementExplainer(private val snapshot: FleetSnapshot, private val nowMs: Long) {
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
        val round = GangPlacement.place(job, candidates.map { it.copy() }, nowMs)
        val admitted = candidates.filter { it.admits(job, nowMs) }
        val fitting = countFitting(job, admitted)
        val isPlaceable = if (job.isGang) round is GangPlacementResult.Feasible else fitting > 0
        return when {
            !isPlaceable && countFitting(job, candidates) > fitting -> excludedMachines(job)
            job.isGang && round is GangPlacementResult.Infeasible -> JobReason(
                "no_room_for_gang",
                "a placement round over ${machines.size} schedulable machines " +
                    "placed ${round.assumed} of ${job.spec.taskCount} tasks" + zoneDetail(job, admitted),
            )
            !job.isGang && fitting == 0 ->
                JobReason("no_room", "none of ${machines.size} schedulable machines has free resources for a task")
            else -> JobReason(
                "turn",
                "the free resources fit $fitting tasks: other jobs have precedence, or the placement is in progress",
            )
        }
    }

    private fun countFitting(job: Job, candidates: List<PlacementCandidate>): Int =
        candidates.sumOf { minOf(it.room.countFitting(job.spec), job.pendingCount) }

    private fun excludedMachines(job: Job): JobReason {
        val remainingS = (job.failedAtMs + Job.MACHINE_EXCLUSION_MS - nowMs) / MILLIS_PER_SECOND
        return JobReason(
            "failed_on_machines",
            "a task failed on ${job.failedMachines.joinToString()}: the job avoids these machines, which have free " +
                "resources, for ${remainingS.toInt()} s more, and others are rented if the cloud has any",
        )
    }

    /** Describes how many tasks of a gang that is bound to one zone the [admitted] machines of each zone fit. */
    private fun zoneDetail(job: Job, admitted: List<PlacementCandidate>): String {
        if (!job.spec.sameZone) return ""
        val zones = snapshot.machineTypes.values.flatMap { it.zones }.toSortedSet()
            .filter { job.spec.zone == null || job.spec.zone == it }
        val fittingByZone = zones.map { zone ->
            "$zone ${countFitting(job, admitted.filter { it.machine.zone == zone })}"
        }
        return "; all must be in one zone, and the free resources fit: ${fittingByZone.joinToString()}"
    }

    /** Returns the machines of known types with the resources that their placed tasks leave free. */
    private fun candidates(machines: List<Machine>): List<PlacementCandidate> {
        val used = usedByMachine()
        return machines.mapNotNull { machine ->
            val capacity = snapshot.machineTypes[machine.machineType]?.capacity ?: return@mapNotNull null
            val room = MachineRoom(capacity) - (used[machine.name] ?: MachineRoom.NONE)
            PlacementCandidate(machine, 0uL, room, emptyList(), machine.name !in used)
        }
    }

    /** Returns what the placed tasks of all jobs take of each machine, by machine name. */
    private fun usedByMachine(): Map<String, MachineRoom> {
        val used = HashMap<String, MachineRoom>()
        for (job in snapshot.jobs.values) {
            for ((machineName, count) in job.allPlaced().groupingBy { it.machineName }.eachCount()) {
                used.merge(machineName, MachineRoom.NONE.plus(job.spec, count), MachineRoom::plus)
            }
        }
        return used
    }
}
