package flaxfield.drain

/** Evaluates evictions against the budgets and repeat policies of [policy] and the availability in [snapshot]. */
internal class DisruptionBudgets(private val snapshot: FleetSnapshot, val policy: FleetPolicy) {
    private val availability = Availability(snapshot, policy)

    /** Returns the availability of [team]. */
    fun of(team: String): TeamAvailability = availability.of(team)

    /** Returns whether the class of the unit's job allows its tasks to be stopped and restarted. */
    fun allowsRestart(unit: DisruptionUnit): Boolean = policy.repeatPolicy(unit.job.spec.jobClass).allows(unit.job.spec)

    /** Returns whether the unit would fit its team's budget if nothing else were unavailable. */
    fun fitsWholeBudget(unit: DisruptionUnit): Boolean = of(unit.team).fitsWholeBudget(unit.capacity)

    /** Returns the budget cost of evicting [unit]; tasks that are already unavailable cost nothing. */
    fun cost(unit: DisruptionUnit): Capacity =
        Capacity.of(unit.job.spec) * unit.tasks.count { availability.unavailabilityReason(unit.job, it) == null }

    /** Returns the number of tasks in the ledger of [team]. */
    fun ledgerEntries(team: String): Int = snapshot.ledgers[team]?.entries?.size ?: 0
}
