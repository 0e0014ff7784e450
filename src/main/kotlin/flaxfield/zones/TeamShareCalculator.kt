package flaxfield.zones

import flaxfield.arrays.MachineHealth
import flaxfield.drain.Capacity
import flaxfield.drain.FleetSnapshot
import flaxfield.jobs.Job
import flaxfield.settings.Team

/**
 * Pure: each team's fair share of the machines that are reachable, and what it has of them. Recovery tiers are served
 * one after another; within a tier, [FairShares] divides what is left.
 */
class TeamShareCalculator(
    private val snapshot: FleetSnapshot,
    private val teams: Map<String, Team>,
    private val rules: ZoneRules,
) {
    private val reachable = snapshot.machines.values.filter { machine ->
        machine.isSchedulable &&
            snapshot.zones[machine.zone]?.isClosed != true &&
            snapshot.machineStatuses[machine.name]?.state == MachineHealth.OK
    }.associateBy { it.name }

    /** The shares of all teams that have unfinished jobs, by team name. */
    fun shares(): List<TeamShare> {
        val jobs = snapshot.jobs.values.filter { !it.cancelled && !it.isCrashLooping }
        var left = reachable.values.fold(Capacity.NONE) { sum, machine -> sum + total(machine.machineType) }
        val targets = sortedMapOf<String, Capacity>()
        for ((_, tierJobs) in jobs.groupBy { rules.tier(it.spec) }.toSortedMap()) {
            val tierTargets = FairShares.targets(left, wants(tierJobs))
            for ((team, target) in tierTargets) targets.merge(team, target, Capacity::plus)
            left = tierTargets.values.fold(left) { rest, target -> rest + target * -1 }
        }
        val held = held(jobs)
        return targets.map { (team, target) -> TeamShare(team, target, held[team] ?: Capacity.NONE) }
    }

    private fun total(machineType: String): Capacity =
        snapshot.machineTypes[machineType]?.capacity?.let { Capacity(it.cpus, it.gpus) } ?: Capacity.NONE

    private fun wants(jobs: List<Job>): List<TeamWant> = jobs.groupBy { it.spec.team }.map { (team, teamJobs) ->
        val want = teamJobs.fold(Capacity.NONE) { sum, job ->
            sum + Capacity.of(job.spec) * (job.spec.taskCount - job.doneCount)
        }
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
