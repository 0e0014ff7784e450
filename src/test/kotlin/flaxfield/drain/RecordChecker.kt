package flaxfield.drain

import flaxfield.sim.SimStore

/** Two amounts as the checkers count them. */
data class Amount(val cpus: Double, val gpus: Double) {
    operator fun plus(o: Amount) = Amount(cpus + o.cpus, gpus + o.gpus)

    fun above(o: Amount) = cpus > o.cpus + 1e-3 || gpus > o.gpus + 1e-3

    companion object {
        val NONE = Amount(0.0, 0.0)
    }
}

/**
 * Recounts from the state service's raw records, after each transaction, what every team lacks. It shares no code with
 * the planner. A transaction that stops tasks on a machine kept from new work is a step: it must charge each of them,
 * and no team may then lack more than its budget.
 */
class RecordChecker(private val state: SimStore, private val now: () -> Double, private val budget: (String, Amount) -> Amount) {
    private class Task(val team: String, val size: Amount, val machineName: String?, val stopping: Boolean, val lost: Boolean)

    val violations = ArrayList<String>()

    /** Each step: when, the teams that it charged, and what each lacked then, of how much. */
    val steps = ArrayList<String>()

    /** Told of each transaction that was a step. */
    var onStep: () -> Unit = {}
    private var before: Set<String> = emptySet()

    /** Recounts now; to be called after every transaction. */
    fun check() {
        val tasks = tasks()
        val charged = charged()
        val drained = state.values("live/host/").filterValues { (it as Map<*, *>)["cordon"] != null }.keys
            .mapTo(HashSet()) { it.removePrefix("live/host/") }
        val stopping = tasks.filterValues { it.stopping }.keys
        val teamsHit = HashSet<String>()
        for (name in stopping - before) {
            val task = tasks.getValue(name)
            // The other members of a gang stop with the one on the drained machine.
            val gangHit = tasks.any { (n, t) -> jobOf(n) == jobOf(name) && t.machineName in drained }
            if (task.machineName !in drained && !(gangHit && name in charged)) continue
            if (task.machineName in drained &&
                name !in charged &&
                !lostGang(name, tasks)
            ) {
                violations += "${now()}: $name is stopped without a charge"
            }
            if (name in charged) teamsHit += task.team
        }
        before = stopping
        for (team in teamsHit) step(team, tasks, charged)
        if (teamsHit.isNotEmpty()) onStep()
    }

    private fun step(team: String, tasks: Map<String, Task>, charged: Set<String>) {
        val mine = tasks.filterValues { it.team == team }
        val expected = mine.values.fold(Amount.NONE) { sum, t -> sum + t.size }
        val lacking = mine.filter { (name, t) -> t.stopping || t.lost || name in charged }
        val unavailable = lacking.values.fold(Amount.NONE) { sum, t -> sum + t.size }
        val allowed = budget(team, expected)
        steps += "${now()}: $team lacks $unavailable of $allowed"
        if (unavailable.above(allowed)) violations += "${now()}: $team lacks $unavailable of $allowed: ${lacking.keys}"
    }

    /** A gang that lost a member is stopped as a whole by others than drains. */
    private fun lostGang(name: String, tasks: Map<String, Task>) = tasks.any { (n, t) ->
        jobOf(n) == jobOf(name) &&
            t.lost
    }

    private fun jobOf(name: String) = name.substringBefore('/')

    private fun charged(): Set<String> = state.values("live/fleet/ledger/").values.flatMapTo(HashSet()) { value ->
        ((value as Map<*, *>)["entries"] as List<*>).map { row -> (row as List<*>).let { "${it[0]}/${it[1]}" } }
    }

    private fun tasks(): Map<String, Task> {
        val result = HashMap<String, Task>()
        for ((key, value) in state.values("live/job/")) {
            val head = value as Map<*, *>
            if (head["cancelled"] != null) continue
            val id = key.removePrefix("live/job/")
            val spec = head["spec"] as Map<*, *>
            val parts = state.values("live/part/$id/").values.map { it as Map<*, *> }
            for (chunk in parts + head) add(id, spec, chunk, result)
        }
        return result
    }

    private fun add(id: String, spec: Map<*, *>, chunk: Map<*, *>, into: MutableMap<String, Task>) {
        val team = spec["owner"].toString()
        val size = Amount((spec["vcpus"] as Number).toDouble(), (spec["accelerators"] as Number).toDouble())
        val lost = numbers(chunk["lost"])
        for (row in chunk["placed"] as List<*>) {
            row as List<*>
            val index = (row[0] as Number).toInt()
            into["$id/$index"] = Task(team, size, row[2].toString(), row[4] == true, index in lost)
        }
        for (index in lost) into.putIfAbsent("$id/$index", Task(team, size, null, stopping = false, lost = true))
    }

    private fun numbers(ranges: Any?): Set<Int> {
        val ends = (ranges as? List<*>).orEmpty().map { (it as Number).toInt() }
        return ends.chunked(2).flatMapTo(HashSet()) { (from, to) -> from..to }
    }
}
