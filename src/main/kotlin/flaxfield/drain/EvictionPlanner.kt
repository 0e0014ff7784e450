package flaxfield.drain

import flaxfield.arrays.MachineHealth
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase

/**
 * Composes the next batch of evictions, machine by machine while the teams' budgets allow. Pure but for the reasons
 * that it adds to [waits]; [budgets] is null while a controller's fleet file is unknown, and then nothing is evicted.
 */
internal class EvictionPlanner(
    private val snapshot: FleetSnapshot,
    private val budgets: DisruptionBudgets?,
    private val drained: DrainedMachines,
    private val maxLedgerEntries: Int,
    private val waits: WaitReasons,
) {
    /** For each team the drain that waits for its budget: a younger drain must not use it up meanwhile. */
    private val waitingDrainByTeam = HashMap<String, String>()

    /**
     * The batch of the first of [drains], oldest first, that can evict anything; null if none can. The other drains
     * are looked at too, so that the reasons why they wait are known.
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
        var open = candidates
        while (open.isNotEmpty() && batch.size < MAX_MACHINES) {
            batch.add(open.minWith(MachineEvictions.PREFERRED_FIRST))
            val chosen = batch.machines.mapTo(HashSet()) { it.name }
            open = open.filter { it.machine.name !in chosen }.mapNotNull { candidate(drain, it.machine, batch) }
        }
    }

    /** What can be evicted from [machine] in addition to [batch]; null, with the reason noted, if nothing can. */
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
        val open = units.filter { it.isStoppable && it !in batch }
        if (open.isEmpty()) return null
        val costs = HashMap<String, Capacity>()
        val affordable = open.filter { charge(budgets, drain, machine, it, batch, costs) }
        if (affordable.isEmpty()) return null
        return MachineEvictions(
            machine = machine,
            units = affordable,
            costs = costs,
            emptiesMachine = affordable.size == open.size,
            budgetUse = costs.maxOf { (team, cost) -> budgetUse(budgets.of(team), batch.cost(team) + cost) },
            remainingTasks = open.sumOf { it.tasks.size } - affordable.sumOf { it.tasks.size },
        )
    }

    private fun budgetUse(team: TeamAvailability, cost: Capacity): Double =
        (team.unavailable + cost).fractionOf(team.allowed)

    /** Why nothing on [machine] may be evicted now, however much is left of the budgets; null if something may. */
    private fun blockingReason(
        budgets: DisruptionBudgets,
        machine: Machine,
        units: List<DisruptionUnit>,
    ): WaitReason? {
        if (machine.phase != MachinePhase.UP || units.isEmpty()) return null
        val health = snapshot.machineStatuses[machine.name]?.state ?: MachineHealth.UNSEEN
        if (health in UNREACHABLE) return WaitReason.NotReporting(health)
        val live = units.filter { !it.job.cancelled }
        // While one task must end by itself the machine is kept, and the other tasks run on until then.
        val forbidden = live.firstOrNull { !budgets.allowsRestart(it) }
        if (forbidden != null) return restartForbidden(budgets, forbidden)
        val inTransition = live.firstOrNull { it.job.isGang && it.isDisrupted }
        if (inTransition != null) return WaitReason.GangInTransition(inTransition.job.id)
        val tooLarge = live.firstOrNull { it.isStoppable && !budgets.everPermits(it) }
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

    /** Adds the cost of [unit] to [costs], this machine's costs by team; false, with the reason noted, if it can't. */
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
        val reason = refusal(budgets, drain, unit, batch.cost(unit.team) + charged, cost)
        if (reason != null) {
            waits.add(drain, machine.name, reason)
            if (reason is WaitReason.BudgetExhausted) waitingDrainByTeam.putIfAbsent(unit.team, drain.id)
            return false
        }
        costs[unit.team] = charged + cost
        return true
    }

    /** Why [unit], which costs [cost], can't be charged after [charged] of the same team; null if it can. */
    private fun refusal(
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
         * Machines in one batch. With one machine a batch, a drain of 500 machines took three times as long as the
         * budgets allow. How many of them fit one transaction is up to the reconciler.
         */
        const val MAX_MACHINES = 8

        /** Stop requests would not get through to these, or the machine is replaced anyway. */
        val UNREACHABLE = setOf(MachineHealth.SILENT, MachineHealth.UNSEEN, MachineHealth.FAULTY)
    }
}
