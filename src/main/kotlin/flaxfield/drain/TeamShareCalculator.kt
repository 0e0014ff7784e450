package flaxfield.drain

import flaxfield.arrays.MachineHealth
import flaxfield.jobs.Job
import flaxfield.settings.Team
import flaxfield.zones.ZoneRules

/**
 * Computes each team's fair share of the reachable machines and its current allocation on them. Recovery tiers get
 * capacity one after another; within a tier, [FairShares] divides the remaining capacity. Pure functions.
 */
class TeamShareCalculator(
    private val snapshot: FleetSnapshot,
    private val teams: Map<String, Team>,
    private val rules: ZoneRules,
) {
    private val reachableMachines = snapshot.machines.values.filter { machine ->
        machine.isSchedulable &&
            snapshot.zones[machine.zone]?.isClosed != true &&
            snapshot.machineStatuses[machine.name]?.health == MachineHealth.OK
    }.associateBy { it.name }

    /** Returns the shares of all teams that have unfinished jobs, sorted by team name. */
    fun shares(): List<TeamShare> {
        val jobs = snapshot.jobs.values.filter { !it.cancelled && !it.isCrashLooping }
        var remaining =
            reachableMachines.values.fold(Capacity.NONE) { sum, machine -> sum + capacity(machine.machineType) }
        val targets = sortedMapOf<String, Capacity>()
        for ((_, tierJobs) in jobs.groupBy { rules.tier(it.spec) }.toSortedMap()) {
            val tierTargets = FairShares.targets(remaining, demands(tierJobs))
            for ((team, target) in tierTargets) targets.merge(team, target, Capacity::plus)
            remaining = tierTargets.values.fold(remaining) { rest, target -> rest + target * -1 }
        }
        val allocated = allocated(jobs)
        return targets.map { (team, target) -> TeamShare(team, target, allocated[team] ?: Capacity.NONE) }
    }

    private fun capacity(machineType: String): Capacity =
        snapshot.machineTypes[machineType]?.capacity?.let { Capacity(it.cpus, it.gpus) } ?: Capacity.NONE

    private fun demands(jobs: List<Job>): List<TeamDemand> = jobs.groupBy { it.spec.team }.map { (team, teamJobs) ->
        val demand = teamJobs.fold(Capacity.NONE) { sum, job ->
            sum + Capacity.of(job.spec) * (job.spec.taskCount - job.doneCount)
        }
        TeamDemand(team, demand, teams[team])
    }

    private fun allocated(jobs: List<Job>): Map<String, Capacity> {
        val result = HashMap<String, Capacity>()
        for (job in jobs) {
            val tasks = job.allPlaced().count { it.machineName in reachableMachines }
            if (tasks > 0) result.merge(job.spec.team, Capacity.of(job.spec) * tasks, Capacity::plus)
        }
        return result
    }
}
