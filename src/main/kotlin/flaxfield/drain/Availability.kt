package flaxfield.drain

import flaxfield.arrays.MachineHealth
import flaxfield.jobs.Job
import flaxfield.jobs.Placement
import flaxfield.jobs.TaskId

/** Why a task counts as unavailable. */
enum class UnavailabilityReason {
    /** It was evicted by a drain and is not yet proven to run again. */
    DRAINED,

    /** It is being stopped for another reason: preemption, a termination notice or scale-in. */
    STOPPING,

    /** Its machine has stopped reporting, so that the state of the task is unknown. */
    SILENT,

    /** It failed, was stopped or was lost with its machine, and is not yet proven to run again. */
    LOST,
}

/** The capacity of one team that is unavailable, and its disruption budget. */
data class TeamAvailability(
    /** The capacity that the team's placed and lost tasks take. */
    val expected: Capacity,
    /** The part of [expected] that is unavailable now, for any reason. */
    val unavailable: Capacity,
    /** The capacity that may be unavailable at once: the team's disruption budget. */
    val allowed: Capacity,
    /** The number of unavailable tasks by reason. */
    val unavailableTasks: Map<UnavailabilityReason, Int>,
) {
    /** Returns whether the budget allows [cost] to be disrupted in addition to [unavailable]. */
    fun permits(cost: Capacity): Boolean = (unavailable + cost).within(allowed)

    /** Returns whether the budget would allow [cost] if nothing else were unavailable. */
    fun fitsWholeBudget(cost: Capacity): Boolean = cost.within(allowed)
}

/** Counts the unavailable capacity of each team. Pure: depends on the records of one snapshot and on [policy]. */
class Availability(private val snapshot: FleetSnapshot, private val policy: FleetPolicy) {
    private class Totals {
        var expected = Capacity.NONE
        var unavailable = Capacity.NONE
        val unavailableTasks = HashMap<UnavailabilityReason, Int>()
    }

    /** The availability of each team with a job that counts towards its budget. */
    val teams: Map<String, TeamAvailability> by lazy(LazyThreadSafetyMode.NONE, ::count)

    /** Returns the availability of [team], which may have no jobs. */
    fun of(team: String): TeamAvailability = teams[team]
        ?: TeamAvailability(Capacity.NONE, Capacity.NONE, policy.allowed(team, Capacity.NONE), emptyMap())

    /** Returns why a task is unavailable; null if it is available, is done or does not count. */
    fun unavailabilityReason(job: Job, index: Int): UnavailabilityReason? {
        val placed = job.placed(index)
        val isDrained = snapshot.ledgers[job.spec.team]?.entries?.containsKey(TaskId(job.id, index)) ?: false
        return when {
            !countsTowardsBudget(job) || job.isDone(index) -> null
            isDrained -> UnavailabilityReason.DRAINED
            placed != null && placed.stopping -> UnavailabilityReason.STOPPING
            job.isInterrupted(index) -> UnavailabilityReason.LOST
            placed != null && isUnreachable(placed) -> UnavailabilityReason.SILENT
            else -> null
        }
    }

    private fun isUnreachable(placement: Placement): Boolean =
        snapshot.machineStatuses[placement.machineName]?.health == MachineHealth.SILENT

    private fun count(): Map<String, TeamAvailability> {
        val totals = HashMap<String, Totals>()
        for (job in snapshot.jobs.values) {
            if (countsTowardsBudget(job)) add(job, totals.getOrPut(job.spec.team) { Totals() })
        }
        return totals.mapValues { (team, total) ->
            val allowed = policy.allowed(team, total.expected)
            TeamAvailability(total.expected, total.unavailable, allowed, total.unavailableTasks)
        }
    }

    private fun add(job: Job, totals: Totals) {
        val tasks = job.allPlaced().mapTo(HashSet(), Placement::index)
        for (chunk in job.chunks.values) tasks += chunk.interrupted
        var unavailableCount = 0
        for (index in tasks) {
            val reason = unavailabilityReason(job, index) ?: continue
            totals.unavailableTasks.merge(reason, 1, Int::plus)
            unavailableCount++
        }
        val perTask = Capacity.of(job.spec)
        totals.expected += perTask * tasks.size
        totals.unavailable += perTask * unavailableCount
    }

    /** Returns whether [job] counts towards its team's budget: cancelled and crash-looping jobs do not. */
    private fun countsTowardsBudget(job: Job) = !job.cancelled && !job.isCrashLooping
}
