package flaxfield.drain

import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase

/** Pure: the next actions of all drains at one revision. Makes one plan; not to be used again. */
class DrainPlanner(private val snapshot: FleetSnapshot, maxLedgerEntries: Int = Int.MAX_VALUE) {
    private val budgets = snapshot.policy()?.let { DisruptionBudgets(snapshot, it) }
    private val drained = DrainedMachines(snapshot)
    private val waits = WaitReasons()
    private val evictions = EvictionPlanner(snapshot, budgets, drained, maxLedgerEntries, waits)
    private val actions = ArrayList<DrainAction>()

    /** The plan at this revision. */
    fun plan(): DrainPlan {
        val open = snapshot.drains.values.filter { !it.phase.isFinished }.sortedWith(OLDEST_FIRST)
        for (drain in open) {
            when (drain.phase) {
                DrainPhase.ACTIVE -> planActive(drain)
                DrainPhase.CANCELLING -> planCancelling(drain)
                else -> Unit
            }
        }
        // A task stopped before all machines of its drain are cordoned might be placed on one that is cordoned next.
        val cordoning = actions
            .filter { it is DrainAction.Cordon || it is DrainAction.SetTarget }
            .mapTo(HashSet()) { it.drain.id }
        val evicting = open.filter { it.phase == DrainPhase.ACTIVE && it.id !in cordoning }
        evictions.plan(evicting)?.let { actions += it }
        return DrainPlan(actions, waits.toMap())
    }

    private fun planActive(drain: DrainRecord) {
        val target = drain.target
        if (target == null) {
            actions += DrainAction.SetTarget(drain, countTarget(drain))
            return
        }
        val machines = drained.of(drain)
        val candidates = if (drain.cordoned < target) candidates(drain) else emptyList()
        val missing = minOf(target - drain.cordoned, candidates.size)
        if (missing > 0) planCordon(drain, candidates.take(missing))
        if (missing <= 0 && machines.isEmpty()) {
            actions += DrainAction.Finish(drain, DrainPhase.DONE)
            return
        }
        val empty = machines.filter { it.phase == MachinePhase.UP && drained.units(it).isEmpty() }
        if (empty.isNotEmpty()) actions += DrainAction.Retire(drain, empty)
    }

    private fun planCordon(drain: DrainRecord, machines: List<Machine>) {
        if (budgets == null) {
            waits.add(drain, ALL_MACHINES, WaitReason.WithoutConfig(snapshot.membersWithoutConfig()))
            return
        }
        val maxCordoned = budgets.policy.maxCordoned
        val available = maxCordoned - drained.count
        if (available > 0) {
            actions += DrainAction.Cordon(drain, machines.take(available))
        } else {
            waits.add(drain, ALL_MACHINES, WaitReason.CordonLimitReached(maxCordoned))
        }
    }

    private fun planCancelling(drain: DrainRecord) {
        // A machine that is empty and being returned to the cloud is not opened again.
        val machines = drained.of(drain).filter { it.phase == MachinePhase.UP }
        actions += if (machines.isEmpty()) {
            DrainAction.Finish(drain, DrainPhase.CANCELLED)
        } else {
            DrainAction.Uncordon(drain, machines)
        }
    }

    /** Machines that [drain] selects and that no drain has cordoned yet, the oldest first. */
    private fun candidates(drain: DrainRecord): List<Machine> = snapshot.machines.values
        .filter { it.isSchedulable && drain.selector.matches(it, drain.orderedMs) }
        .sortedWith(compareBy({ it.rentedMs }, { it.name }))

    private fun countTarget(drain: DrainRecord): Int {
        val all = candidates(drain).size
        val percent = drain.selector.percent ?: return all
        return Math.ceil(all * percent / PERCENT - ROUNDING).toInt()
    }

    companion object {
        /** Stands for all machines of a drain in the reasons. */
        const val ALL_MACHINES = "*"
        private const val PERCENT = 100.0

        /** Keeps a rounding error from raising a percentage of a whole number of machines by one machine. */
        private const val ROUNDING = 1e-9

        private val OLDEST_FIRST = compareBy<DrainRecord>({ it.orderedMs }, { it.id })
    }
}
