package flaxfield.drain

import flaxfield.fleet.Machine
import flaxfield.jobs.TaskId

/** The evictions that one machine could contribute to a batch. */
internal class MachineEvictions(
    val machine: Machine,
    val units: List<DisruptionUnit>,
    /** What [units] cost, by team. */
    val costs: Map<String, Capacity>,
    /** Whether nothing that can be stopped is left on the machine afterwards. */
    val emptiesMachine: Boolean,
    /** The largest fraction of a team's budget that is in use afterwards. */
    val budgetUse: Double,
    /** How many tasks that can be stopped remain on the machine afterwards. */
    val remainingTasks: Int,
) {
    companion object {
        /**
         * Machines that are emptied come first, and of them the one that leaves its teams the largest fraction of their
         * budgets: teams with much of their budget left thus go before others. Of machines that are not emptied, the
         * one with the fewest tasks left comes first.
         */
        val PREFERRED_FIRST: Comparator<MachineEvictions> = compareBy(
            { !it.emptiesMachine },
            { if (it.emptiesMachine) it.budgetUse else it.remainingTasks.toDouble() },
            { it.budgetUse },
            { it.machine.name },
        )
    }
}

/** The evictions chosen so far for one transaction, and what they cost each team. */
internal class EvictionBatch {
    private val chosen = ArrayList<MachineEvictions>()
    private val costs = HashMap<String, Capacity>()
    private val firstTasks = HashSet<TaskId>()

    val size: Int get() = chosen.size
    val machines: List<Machine> get() = chosen.map { it.machine }
    val units: List<DisruptionUnit> get() = chosen.flatMap { it.units }

    /** What the batch costs [team] so far. */
    fun cost(team: String): Capacity = costs[team] ?: Capacity.NONE

    /** Whether [unit] is in the batch already: a gang is evicted once, though it is on several machines. */
    operator fun contains(unit: DisruptionUnit): Boolean = firstTask(unit) in firstTasks

    fun add(evictions: MachineEvictions) {
        chosen += evictions
        for ((team, cost) in evictions.costs) costs[team] = cost(team) + cost
        for (unit in evictions.units) firstTasks += firstTask(unit)
    }

    private fun firstTask(unit: DisruptionUnit) = TaskId(unit.job.id, unit.tasks.first())
}
