package flaxfield.drain

import flaxfield.jobs.TaskId
import flaxfield.arrays.MachineHealth
import flaxfield.jobs.Job
import flaxfield.jobs.Placement

/** Why a task of a team does not do its work now. */
enum class Absence {
    /** A drain has stopped it, and it is not yet known to run again. */
    DRAINED,

    /** It was told to stop for another reason: preemption, a spot notice, a machine that is no longer needed. */
    STOPPING,

    /** Its machine has stopped reporting, and nothing is proven yet. */
    SILENT,

    /** It was lost with its machine, by a failure or after having been stopped, and is not yet known to run again. */
    LOST,
}

/** How one team stands against its budget. */
data class TeamAvailability(
    /** What its tasks take while nothing is lost. */
    val expected: Capacity,
    /** What of it is unavailable now, for whatever reason. */
    val unavailable: Capacity,
    /** What may be unavailable at once. */
    val allowed: Capacity,
    /** How many tasks are absent, by reason. */
    val absences: Map<Absence, Int>,
) {
    /** Whether [more] may be disrupted now. */
    fun permits(more: Capacity): Boolean = (unavailable + more).within(allowed)

    /** Whether [cost] would fit if nothing else were unavailable. */
    fun everPermits(cost: Capacity): Boolean = cost.within(allowed)
}

/** Pure: what is available of each team's capacity, counted from records alone. */
class Availability(private val snapshot: FleetSnapshot, private val policy: FleetPolicy) {
    private class Sums {
        var expected = Capacity.NONE
        var unavailable = Capacity.NONE
        val absences = HashMap<Absence, Int>()
    }

    /** How each team with tasks, or with disruptions, stands. */
    val teams: Map<String, TeamAvailability> by lazy(LazyThreadSafetyMode.NONE, ::count)

    /** How [team] stands; also one that has nothing at all. */
    fun of(team: String): TeamAvailability = teams[team]
        ?: TeamAvailability(Capacity.NONE, Capacity.NONE, policy.allowed(team, Capacity.NONE), emptyMap())

    /** Why a task is unavailable; null if it is not, or is nobody's loss. */
    fun absence(job: Job, index: Int): Absence? {
        val placed = job.placed(index)
        val drained = snapshot.ledgers[job.spec.team]?.entries?.containsKey(TaskId(job.id, index)) ?: false
        return when {
            !counts(job) || job.isDone(index) -> null
            drained -> Absence.DRAINED
            placed != null && placed.stopping -> Absence.STOPPING
            job.isInterrupted(index) -> Absence.LOST
            placed != null && snapshot.machineStatuses[placed.machineName]?.state == MachineHealth.SILENT -> Absence.SILENT
            else -> null
        }
    }

    private fun count(): Map<String, TeamAvailability> {
        val sums = HashMap<String, Sums>()
        for (job in snapshot.jobs.values) if (counts(job)) add(job, sums.getOrPut(job.spec.team) { Sums() })
        return sums.mapValues { (team, s) ->
            TeamAvailability(s.expected, s.unavailable, policy.allowed(team, s.expected), s.absences)
        }
    }

    private fun add(job: Job, sums: Sums) {
        val tasks = job.allPlaced().mapTo(HashSet(), Placement::index)
        for (chunk in job.chunks.values) tasks += chunk.interrupted
        var absent = 0
        for (index in tasks) {
            val why = absence(job, index) ?: continue
            sums.absences.merge(why, 1, Int::plus)
            absent++
        }
        val each = Capacity.of(job.spec)
        sums.expected += each * tasks.size
        sums.unavailable += each * absent
    }

    /** A job that its user gave up, or that fails on every machine, has no capacity to lose. */
    private fun counts(job: Job) = !job.cancelled && !job.isSuspect
}
