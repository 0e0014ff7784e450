package flaxfield.drain

import flaxfield.sim.SimStore

/** An amount of CPUs and GPUs, counted independently of [Capacity]. */
data class Amount(val cpus: Double, val gpus: Double) {
    operator fun plus(other: Amount) = Amount(cpus + other.cpus, gpus + other.gpus)

    /** Returns whether either resource exceeds that of [other] by more than a rounding error. */
    fun exceeds(other: Amount) = cpus > other.cpus + EPSILON || gpus > other.gpus + EPSILON

    companion object {
        val NONE = Amount(0.0, 0.0)
        private const val EPSILON = 1e-3
    }
}

/**
 * Counts the unavailable capacity of each team from the raw records of the state service after each transaction. It
 * shares no code with the planner. A transaction that stops tasks on a cordoned machine is an eviction. It must charge
 * each of the tasks to a ledger, and no team's unavailable capacity may then exceed its budget.
 */
class RecordChecker(private val store: SimStore, private val now: () -> Double, private val budget: (String, Amount) -> Amount) {
    private class Task(val team: String, val size: Amount, val machineName: String?, val stopping: Boolean, val lost: Boolean)

    /** Descriptions of the violations: time, team or task, and what was violated. */
    val violations = ArrayList<String>()

    /** The evictions, one entry per charged team: time, team, unavailable capacity and budget. */
    val evictions = ArrayList<String>()

    /** Called for each transaction that is an eviction. */
    var onEviction: () -> Unit = {}
    private var stoppingBefore: Set<String> = emptySet()

    /** Checks the current records; must be called after each transaction. */
    fun check() {
        val tasks = tasks()
        val charged = charged()
        val drained = store.values(MACHINES).filterValues { (it as Map<*, *>)["cordon"] != null }.keys
            .mapTo(HashSet()) { it.removePrefix(MACHINES) }
        val stopping = tasks.filterValues { it.stopping }.keys
        val chargedTeams = HashSet<String>()
        for (name in stopping - stoppingBefore) {
            val task = tasks.getValue(name)
            // A gang is evicted as a whole if one of its members is on a drained machine.
            val isInDrainedGang = tasks.any { (other, member) ->
                jobOf(other) == jobOf(name) && member.machineName in drained
            }
            if (task.machineName !in drained && !(isInDrainedGang && name in charged)) continue
            if (task.machineName in drained && name !in charged && !hasLostMember(name, tasks)) {
                violations += "${now()}: $name is stopped without a ledger entry"
            }
            if (name in charged) chargedTeams += task.team
        }
        stoppingBefore = stopping
        for (team in chargedTeams) checkBudget(team, tasks, charged)
        if (chargedTeams.isNotEmpty()) onEviction()
    }

    private fun checkBudget(team: String, tasks: Map<String, Task>, charged: Set<String>) {
        val ofTeam = tasks.filterValues { it.team == team }
        val expected = ofTeam.values.fold(Amount.NONE) { sum, task -> sum + task.size }
        val unavailableTasks = ofTeam.filter { (name, task) -> task.stopping || task.lost || name in charged }
        val unavailable = unavailableTasks.values.fold(Amount.NONE) { sum, task -> sum + task.size }
        val allowed = budget(team, expected)
        evictions += "${now()}: $team has $unavailable unavailable, allowed $allowed"
        if (unavailable.exceeds(allowed)) {
            violations +=
                "${now()}: $team has $unavailable unavailable, allowed $allowed: ${unavailableTasks.keys}"
        }
    }

    /** Returns whether the task's gang has lost a member: such a gang is stopped as a whole without a drain. */
    private fun hasLostMember(name: String, tasks: Map<String, Task>) =
        tasks.any { (other, member) -> jobOf(other) == jobOf(name) && member.lost }

    private fun jobOf(name: String) = name.substringBefore('/')

    private fun charged(): Set<String> = store.values(LEDGER).values.flatMapTo(HashSet()) { value ->
        ((value as Map<*, *>)["entries"] as List<*>).map { row -> (row as List<*>).let { "${it[0]}/${it[1]}" } }
    }

    private fun tasks(): Map<String, Task> {
        val result = HashMap<String, Task>()
        for ((key, value) in store.values(JOBS)) {
            val head = value as Map<*, *>
            if (head["cancelled"] != null) continue
            val id = key.removePrefix(JOBS)
            val spec = head["spec"] as Map<*, *>
            val chunks = store.values("$CHUNKS$id/").values.map { it as Map<*, *> }
            for (chunk in chunks + head) add(id, spec, chunk, result)
        }
        return result
    }

    private fun add(id: String, spec: Map<*, *>, chunk: Map<*, *>, result: MutableMap<String, Task>) {
        val team = spec["owner"].toString()
        val size = Amount((spec["vcpus"] as Number).toDouble(), (spec["accelerators"] as Number).toDouble())
        val lost = numbers(chunk["lost"])
        for (row in chunk["placed"] as List<*>) {
            row as List<*>
            val index = (row[0] as Number).toInt()
            result["$id/$index"] = Task(team, size, row[2].toString(), row[4] == true, index in lost)
        }
        for (index in lost) result.putIfAbsent("$id/$index", Task(team, size, null, stopping = false, lost = true))
    }

    private fun numbers(ranges: Any?): Set<Int> {
        val ends = (ranges as? List<*>).orEmpty().map { (it as Number).toInt() }
        return ends.chunked(2).flatMapTo(HashSet()) { (from, to) -> from..to }
    }

    private companion object {
        /** Key prefixes in the state service. */
        const val MACHINES = "live/host/"
        const val LEDGER = "live/fleet/ledger/"
        const val JOBS = "live/job/"
        const val CHUNKS = "live/part/"
    }
}
