package flaxfield.zones

import flaxfield.arrays.MachineHealth
import flaxfield.drain.Capacity
import flaxfield.drain.FleetSnapshot
import flaxfield.jobs.Job
import flaxfield.settings.Team

/**
 * Pure: what each team should have of the machines that are left, and what it has. Tiers are served one after another;
 * within a tier what is left is shared by [FairShares].
 */
class FairLoss(
    private val snapshot: FleetSnapshot,
    private val teams: Map<String, Team>,
    private val rules: ZoneRules,
) {
    private val reachable = snapshot.machines.values.filter { m ->
        m.takesWork &&
            snapshot.zones[m.zone]?.closed != true &&
            snapshot.machineStatuses[m.name]?.state == MachineHealth.OK
    }.associateBy { it.name }

    /** The shares of all teams that have unfinished work, by name. */
    fun shares(): List<TeamShare> {
        val jobs = snapshot.jobs.values.filter { !it.cancelled && !it.isSuspect }
        var left = reachable.values.fold(Capacity.NONE) { sum, m -> sum + whole(m.machineType) }
        val targets = sortedMapOf<String, Capacity>()
        for ((_, tier) in jobs.groupBy { rules.tier(it.spec) }.toSortedMap()) {
            val got = FairShares.targets(left, wants(tier))
            for ((team, target) in got) targets.merge(team, target, Capacity::plus)
            left = got.values.fold(left) { rest, c -> rest + c * -1 }
        }
        val held = held(jobs)
        return targets.map { (team, target) -> TeamShare(team, target, held[team] ?: Capacity.NONE) }
    }

    private fun whole(machineType: String): Capacity =
        snapshot.machineTypes[machineType]?.room?.let { Capacity(it.cpus, it.gpus) } ?: Capacity.NONE

    private fun wants(jobs: List<Job>): List<TeamWant> = jobs.groupBy { it.spec.team }.map { (team, list) ->
        val want = list.fold(Capacity.NONE) { sum, j -> sum + Capacity.of(j.spec) * (j.spec.taskCount - j.doneCount) }
        TeamWant(team, want, teams[team])
    }

    private fun held(jobs: List<Job>): Map<String, Capacity> {
        val result = HashMap<String, Capacity>()
        for (job in jobs) {
            val tasks = job.allPlaced().count { it.machineName in reachable }
            if (tasks > 0) result.merge(job.spec.team, Capacity.of(job.spec) * tasks, Capacity::plus)
        }
        return result
    }
}
