package flaxfield.drain

import flaxfield.sim.SimStore

/** An amount of CPUs and GPUs as the checkers count them. */
data class Amount(val cpus: Double, val gpus: Double) {
    operator fun plus(other: Amount) = Amount(cpus + other.cpus, gpus + other.gpus)

    /** Whether either part is above that of [other], by more than rounding. */
    fun above(other: Amount) = cpus > other.cpus + ROUNDING || gpus > other.gpus + ROUNDING

    companion object {
        val NONE = Amount(0.0, 0.0)
        private const val ROUNDING = 1e-3
    }
}

/**
 * Recounts from the state service's raw records, after each transaction, what every team lacks. It shares no code with
 * the planner. A transaction that stops tasks on a cordoned machine is a step: it must charge each of them to the
 * ledger, and no team may then lack more than its budget.
 */
class RecordChecker(private val store: SimStore, private val now: () -> Double, private val budget: (String, Amount) -> Amount) {
    private class Task(val team: String, val size: Amount, val machineName: String?, val stopping: Boolean, val lost: Boolean)

    /** What broke a rule of the records: when, whom and how. */
    val violations = ArrayList<String>()

    /** Each step: when, the teams that it charged, and what each lacked then, of how much. */
    val steps = ArrayList<String>()

    /** Told of each transaction that was a step. */
    var onStep: () -> Unit = {}
    private var stoppingBefore: Set<String> = emptySet()

    /** Recounts now; to be called after every transaction. */
    fun check() {
        val tasks = tasks()
        val charged = charged()
        val drained = store.values(MACHINES).filterValues { (it as Map<*, *>)["cordon"] != null }.keys
            .mapTo(HashSet()) { it.removePrefix(MACHINES) }
        val stopping = tasks.filterValues { it.stopping }.keys
        val chargedTeams = HashSet<String>()
        for (name in stopping - stoppingBefore) {
            val task = tasks.getValue(name)
            // The other members of a gang stop with the one on the drained machine.
            val isInDrainedGang = tasks.any { (other, member) ->
                jobOf(other) == jobOf(name) && member.machineName in drained
            }
            if (task.machineName !in drained && !(isInDrainedGang && name in charged)) continue
            if (task.machineName in drained && name !in charged && !lostGang(name, tasks)) {
                violations += "${now()}: $name is stopped without a charge"
            }
            if (name in charged) chargedTeams += task.team
        }
        stoppingBefore = stopping
        for (team in chargedTeams) step(team, tasks, charged)
        if (chargedTeams.isNotEmpty()) onStep()
    }

    private fun step(team: String, tasks: Map<String, Task>, charged: Set<String>) {
        val ofTeam = tasks.filterValues { it.team == team }
        val expected = ofTeam.values.fold(Amount.NONE) { sum, task -> sum + task.size }
        val lacking = ofTeam.filter { (name, task) -> task.stopping || task.lost || name in charged }
        val unavailable = lacking.values.fold(Amount.NONE) { sum, task -> sum + task.size }
        val allowed = budget(team, expected)
        steps += "${now()}: $team lacks $unavailable of $allowed"
        if (unavailable.above(allowed)) violations += "${now()}: $team lacks $unavailable of $allowed: ${lacking.keys}"
    }

    /** A gang that lost a member is stopped as a whole by others than drains. */
    private fun lostGang(name: String, tasks: Map<String, Task>) =
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
        /** Prefixes of the keys in the state service. */
        const val MACHINES = "live/host/"
        const val LEDGER = "live/fleet/ledger/"
        const val JOBS = "live/job/"
        const val CHUNKS = "live/part/"
    }
}
