package flaxfield.drain

import flaxfield.arrays.MachineHealth
import flaxfield.jobs.Job
import flaxfield.jobs.Placement
import flaxfield.jobs.TaskId

/** Why a task counts as unavailable. */
enum class UnavailabilityReason {
    /** A drain has evicted it, and it is not yet proven to run again. */
    DRAINED,

    /** It was told to stop for another reason: preemption, a spot notice, scale-in. */
    STOPPING,

    /** Its machine has stopped reporting, and the state of the task is unknown. */
    SILENT,

    /** It was lost with its machine, failed or was stopped, and is not yet proven to run again. */
    LOST,
}

/** How one team stands against its disruption budget. */
data class TeamAvailability(
    /** What its tasks take while nothing is lost. */
    val expected: Capacity,
    /** How much of it is unavailable now, for whatever reason. */
    val unavailable: Capacity,
    /** What may be unavailable at once. */
    val allowed: Capacity,
    /** How many tasks are absent, by reason. */
    val unavailableTasks: Map<UnavailabilityReason, Int>,
) {
    /** Whether [cost] may be disrupted in addition now. */
    fun permits(cost: Capacity): Boolean = (unavailable + cost).within(allowed)

    /** Whether [cost] would fit if nothing else were unavailable. */
    fun everPermits(cost: Capacity): Boolean = cost.within(allowed)
}

/** Pure: how much of each team's capacity is unavailable, counted from the records of one snapshot. */
class Availability(private val snapshot: FleetSnapshot, private val policy: FleetPolicy) {
    private class Totals {
        var expected = Capacity.NONE
        var unavailable = Capacity.NONE
        val unavailableTasks = HashMap<UnavailabilityReason, Int>()
    }

    /** How each team with tasks, or with disruptions, stands. */
    val teams: Map<String, TeamAvailability> by lazy(LazyThreadSafetyMode.NONE, ::count)

    /** How [team] stands; also one that has nothing at all. */
    fun of(team: String): TeamAvailability = teams[team]
        ?: TeamAvailability(Capacity.NONE, Capacity.NONE, policy.allowed(team, Capacity.NONE), emptyMap())

    /** Why a task is unavailable; null if it is available, or its job has no capacity to lose. */
    fun absence(job: Job, index: Int): UnavailabilityReason? {
        val placed = job.placed(index)
        val drained = snapshot.ledgers[job.spec.team]?.entries?.containsKey(TaskId(job.id, index)) ?: false
        return when {
            !counts(job) || job.isDone(index) -> null
            drained -> UnavailabilityReason.DRAINED
            placed != null && placed.stopping -> UnavailabilityReason.STOPPING
            job.isInterrupted(index) -> UnavailabilityReason.LOST
            placed != null && isSilent(placed) -> UnavailabilityReason.SILENT
            else -> null
        }
    }

    private fun isSilent(placement: Placement): Boolean =
        snapshot.machineStatuses[placement.machineName]?.state == MachineHealth.SILENT

    private fun count(): Map<String, TeamAvailability> {
        val totals = HashMap<String, Totals>()
        for (job in snapshot.jobs.values) if (counts(job)) add(job, totals.getOrPut(job.spec.team) { Totals() })
        return totals.mapValues { (team, total) ->
            val allowed = policy.allowed(team, total.expected)
            TeamAvailability(total.expected, total.unavailable, allowed, total.unavailableTasks)
        }
    }

    private fun add(job: Job, totals: Totals) {
        val tasks = job.allPlaced().mapTo(HashSet(), Placement::index)
        for (chunk in job.chunks.values) tasks += chunk.interrupted
        var absent = 0
        for (index in tasks) {
            val reason = absence(job, index) ?: continue
            totals.unavailableTasks.merge(reason, 1, Int::plus)
            absent++
        }
        val perTask = Capacity.of(job.spec)
        totals.expected += perTask * tasks.size
        totals.unavailable += perTask * absent
    }

    /** A job that is cancelled, or that fails on every machine, has no capacity to lose. */
    private fun counts(job: Job) = !job.cancelled && !job.isCrashLooping
}
