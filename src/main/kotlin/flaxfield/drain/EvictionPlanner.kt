package flaxfield.drain

import flaxfield.arrays.MachineHealth
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase

/**
 * Plans the next batch of evictions, machine by machine, within the teams' budgets. Pure, except that it adds to
 * [waits] why machines wait. While a controller's fleet file is unknown, [budgets] is null and nothing is evicted.
 */
internal class EvictionPlanner(
    private val snapshot: FleetSnapshot,
    private val budgets: DisruptionBudgets?,
    private val drained: DrainedMachines,
    private val maxLedgerEntries: Int,
    private val waits: WaitReasons,
) {
    /** The oldest drain that waits for each team's budget; younger drains must not use up that budget meanwhile. */
    private val waitingDrainByTeam = HashMap<String, String>()

    /**
     * Returns the batch of the first of [drains], ordered from the oldest, that can evict anything; null if none can.
     * The drains after it are evaluated too, to find the reasons why they wait.
     */
    fun plan(drains: List<DrainRecord>): DrainAction.Evict? {
        val batch = EvictionBatch()
        var action: DrainAction.Evict? = null
        for (drain in drains) {
            val machines = drained.of(drain).sortedBy { it.name }
            val candidates = machines.mapNotNull { candidate(drain, it, batch) }
            if (action != null) continue
            fill(batch, drain, candidates)
            if (batch.size > 0) action = DrainAction.Evict(drain, batch.machines, batch.units)
        }
        return action
    }

    private fun fill(batch: EvictionBatch, drain: DrainRecord, candidates: List<MachineEvictions>) {
        var remaining = candidates
        while (remaining.isNotEmpty() && batch.size < MAX_MACHINES_PER_BATCH) {
            batch.add(remaining.minWith(MachineEvictions.PREFERRED_FIRST))
            val chosen = batch.machines.mapTo(HashSet()) { it.name }
            remaining = remaining
                .filter { it.machine.name !in chosen }
                .mapNotNull { candidate(drain, it.machine, batch) }
        }
    }

    /** Returns the evictions from [machine] that [batch] can add; adds a wait reason and returns null if it can't. */
    private fun candidate(drain: DrainRecord, machine: Machine, batch: EvictionBatch): MachineEvictions? {
        if (budgets == null) {
            waits.add(drain, machine.name, WaitReason.WithoutConfig(snapshot.membersWithoutConfig()))
            return null
        }
        val units = drained.units(machine)
        val reason = blockingReason(budgets, machine, units)
        if (reason != null) {
            waits.add(drain, machine.name, reason)
            return null
        }
        val evictable = units.filter { it.isStoppable && it !in batch }
        if (evictable.isEmpty()) return null
        val costs = HashMap<String, Capacity>()
        val affordable = evictable.filter { charge(budgets, drain, machine, it, batch, costs) }
        if (affordable.isEmpty()) return null
        return MachineEvictions(
            machine = machine,
            units = affordable,
            costs = costs,
            emptiesMachine = affordable.size == evictable.size,
            budgetUse = costs.maxOf { (team, cost) -> budgetUse(budgets.of(team), batch.cost(team) + cost) },
            remainingTasks = evictable.sumOf { it.tasks.size } - affordable.sumOf { it.tasks.size },
        )
    }

    private fun budgetUse(team: TeamAvailability, cost: Capacity): Double =
        (team.unavailable + cost).fractionOf(team.allowed)

    /** Returns why [machine] can't be drained now, regardless of the remaining budgets; null if it can. */
    private fun blockingReason(
        budgets: DisruptionBudgets,
        machine: Machine,
        units: List<DisruptionUnit>,
    ): WaitReason? {
        if (machine.phase != MachinePhase.UP || units.isEmpty()) return null
        val health = snapshot.machineStatuses[machine.name]?.health ?: MachineHealth.UNSEEN
        if (health in UNDRAINABLE) return WaitReason.NotReporting(health)
        val activeUnits = units.filter { !it.job.cancelled }
        // While a task that forbids restarts runs, the machine can't be emptied: its other tasks run on too.
        val forbidden = activeUnits.firstOrNull { !budgets.allowsRestart(it) }
        if (forbidden != null) return restartForbidden(budgets, forbidden)
        val inTransition = activeUnits.firstOrNull { it.job.isGang && it.isDisrupted }
        if (inTransition != null) return WaitReason.GangInTransition(inTransition.job.id)
        val tooLarge = activeUnits.firstOrNull { it.isStoppable && !budgets.fitsWholeBudget(it) }
        if (tooLarge != null) return largerThanBudget(budgets, tooLarge)
        if (units.none { it.isStoppable }) return WaitReason.Stopping(units.sumOf { it.tasks.size })
        return null
    }

    private fun restartForbidden(budgets: DisruptionBudgets, unit: DisruptionUnit): WaitReason {
        val jobClass = unit.job.spec.jobClass
        return WaitReason.RestartForbidden(unit.job.id, jobClass, budgets.policy.repeatPolicy(jobClass))
    }

    private fun largerThanBudget(budgets: DisruptionBudgets, unit: DisruptionUnit): WaitReason =
        WaitReason.LargerThanBudget(unit.job.id, unit.team, unit.capacity, budgets.of(unit.team).allowed)

    /**
     * Adds the cost of [unit] to [costs], the machine's costs by team. If the unit can't be evicted now, adds a wait
     * reason and returns false.
     */
    private fun charge(
        budgets: DisruptionBudgets,
        drain: DrainRecord,
        machine: Machine,
        unit: DisruptionUnit,
        batch: EvictionBatch,
        costs: MutableMap<String, Capacity>,
    ): Boolean {
        val charged = costs[unit.team] ?: Capacity.NONE
        val cost = budgets.cost(unit)
        val reason = chargeRefusal(budgets, drain, unit, batch.cost(unit.team) + charged, cost)
        if (reason != null) {
            waits.add(drain, machine.name, reason)
            if (reason is WaitReason.BudgetExhausted) waitingDrainByTeam.putIfAbsent(unit.team, drain.id)
            return false
        }
        costs[unit.team] = charged + cost
        return true
    }

    /** Returns why [unit] can't be charged [cost] after [charged] of the same team; null if it can. */
    private fun chargeRefusal(
        budgets: DisruptionBudgets,
        drain: DrainRecord,
        unit: DisruptionUnit,
        charged: Capacity,
        cost: Capacity,
    ): WaitReason? {
        val budget = budgets.of(unit.team)
        val older = waitingDrainByTeam[unit.team]
        val entries = budgets.ledgerEntries(unit.team)
        return when {
            older != null && older != drain.id -> WaitReason.OlderDrainFirst(older, unit.team)
            entries + unit.tasks.size > maxLedgerEntries -> WaitReason.LedgerFull(unit.team, entries)
            !budget.permits(charged + cost) ->
                WaitReason.BudgetExhausted(unit.team, cost, budget.unavailable + charged, budget.allowed)
            else -> null
        }
    }

    private companion object {
        /**
         * The maximum number of machines in a batch. With one machine per batch, a drain of 500 machines took three
         * times as long as the budgets allow. The reconciler shortens batches that exceed one transaction.
         */
        const val MAX_MACHINES_PER_BATCH = 8

        /** Stop requests do not reach machines in these states, or the machine is about to be replaced as faulty. */
        val UNDRAINABLE = setOf(MachineHealth.SILENT, MachineHealth.UNSEEN, MachineHealth.FAULTY)
    }
}
