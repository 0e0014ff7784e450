package flaxfield.drain

import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase

/** Plans the next actions of all drains at one revision. Pure; an instance makes a single plan. */
class DrainPlanner(private val snapshot: FleetSnapshot, maxLedgerEntries: Int = Int.MAX_VALUE) {
    private val budgets = snapshot.policy()?.let { DisruptionBudgets(snapshot, it) }
    private val drained = DrainedMachines(snapshot)
    private val waits = WaitReasons()
    private val evictions = EvictionPlanner(snapshot, budgets, drained, maxLedgerEntries, waits)
    private val actions = ArrayList<DrainAction>()

    /** Returns the plan at this revision; must be called only once. */
    fun plan(): DrainPlan {
        val unfinished = snapshot.drains.values.filter { !it.phase.isFinished }.sortedWith(OLDEST_FIRST)
        for (drain in unfinished) {
            when (drain.phase) {
                DrainPhase.ACTIVE -> planActive(drain)
                DrainPhase.CANCELLING -> planCancelling(drain)
                else -> Unit
            }
        }
        // Evictions wait until all machines of the drain are cordoned: otherwise an evicted task might be placed on a
        // machine that is cordoned next, and be evicted again.
        val cordoningDrains = actions
            .filter { it is DrainAction.Cordon || it is DrainAction.SetTarget }
            .mapTo(HashSet()) { it.drain.id }
        val evictingDrains = unfinished.filter { it.phase == DrainPhase.ACTIVE && it.id !in cordoningDrains }
        evictions.plan(evictingDrains)?.let { actions += it }
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
        // Machines that have left phase UP are being returned to the cloud and stay cordoned.
        val machines = drained.of(drain).filter { it.phase == MachinePhase.UP }
        actions += if (machines.isEmpty()) {
            DrainAction.Finish(drain, DrainPhase.CANCELLED)
        } else {
            DrainAction.Uncordon(drain, machines)
        }
    }

    /** Returns the schedulable machines that [drain] selects and no drain has cordoned yet, ordered from the oldest. */
    private fun candidates(drain: DrainRecord): List<Machine> = snapshot.machines.values
        .filter { it.isSchedulable && drain.selector.matches(it, drain.orderedMs) }
        .sortedWith(compareBy({ it.rentedMs }, { it.name }))

    private fun countTarget(drain: DrainRecord): Int {
        val all = candidates(drain).size
        val percent = drain.selector.percent ?: return all
        return Math.ceil(all * percent / HUNDRED_PERCENT - EPSILON).toInt()
    }

    companion object {
        /** The key of wait reasons that apply to all machines of a drain. */
        const val ALL_MACHINES = "*"
        private const val HUNDRED_PERCENT = 100.0

        /** Prevents a rounding error from adding a machine where the percentage is a whole number of machines. */
        private const val EPSILON = 1e-9

        private val OLDEST_FIRST = compareBy<DrainRecord>({ it.orderedMs }, { it.id })
    }
}
