package flaxfield.drain

import flaxfield.fleet.Machine
import flaxfield.jobs.TaskId

/** The evictions from one machine that a batch can include. */
internal class MachineEvictions(
    val machine: Machine,
    val units: List<DisruptionUnit>,
    /** The budget cost of [units], by team. */
    val costs: Map<String, Capacity>,
    /** Whether these evictions leave no task on the machine that can still be stopped. */
    val emptiesMachine: Boolean,
    /** The largest fraction of any affected team's budget that is in use after these evictions. */
    val budgetUse: Double,
    /** The number of tasks on the machine that can still be stopped after these evictions. */
    val remainingTasks: Int,
) {
    companion object {
        /**
         * Orders machines that are emptied first, by ascending use of their teams' budgets: teams with much of their
         * budget left are disrupted before others. The machines that are not emptied follow, by ascending number of
         * remaining tasks.
         */
        val PREFERRED_FIRST: Comparator<MachineEvictions> = compareBy(
            { !it.emptiesMachine },
            { if (it.emptiesMachine) it.budgetUse else it.remainingTasks.toDouble() },
            { it.budgetUse },
            { it.machine.name },
        )
    }
}

/** Collects the evictions for one transaction and their cost by team. */
internal class EvictionBatch {
    private val chosen = ArrayList<MachineEvictions>()
    private val costs = HashMap<String, Capacity>()
    private val firstTasks = HashSet<TaskId>()

    val size: Int get() = chosen.size
    val machines: List<Machine> get() = chosen.map { it.machine }
    val units: List<DisruptionUnit> get() = chosen.flatMap { it.units }

    /** Returns the cost of the batch to the budget of [team] so far. */
    fun cost(team: String): Capacity = costs[team] ?: Capacity.NONE

    /** Returns whether the batch includes [unit]: a gang is evicted once, though it runs on several machines. */
    operator fun contains(unit: DisruptionUnit): Boolean = firstTask(unit) in firstTasks

    fun add(evictions: MachineEvictions) {
        chosen += evictions
        for ((team, cost) in evictions.costs) costs[team] = cost(team) + cost
        for (unit in evictions.units) firstTasks += firstTask(unit)
    }

    private fun firstTask(unit: DisruptionUnit) = TaskId(unit.job.id, unit.tasks.first())
}
