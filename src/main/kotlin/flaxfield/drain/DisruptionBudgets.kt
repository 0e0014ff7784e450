package flaxfield.drain

/** The rules of the fleet files for evictions, and how each team stands against them. All files must be known. */
internal class DisruptionBudgets(private val snapshot: FleetSnapshot, val policy: FleetPolicy) {
    private val availability = Availability(snapshot, policy)

    /** How [team] stands against its budget. */
    fun of(team: String): TeamAvailability = availability.of(team)

    /** Whether the class of the unit's job allows its tasks to be started again. */
    fun allowsRestart(unit: DisruptionUnit): Boolean = policy.repeatPolicy(unit.job.spec.jobClass).allows(unit.job.spec)

    /** Whether the unit fits its team's budget while nothing else is unavailable. */
    fun everPermits(unit: DisruptionUnit): Boolean = of(unit.team).everPermits(unit.capacity)

    /** What evicting [unit] takes from its team's budget: nothing for tasks that are already unavailable. */
    fun cost(unit: DisruptionUnit): Capacity =
        Capacity.of(unit.job.spec) * unit.tasks.count { availability.absence(unit.job, it) == null }

    /** How many tasks the ledger of [team] holds. */
    fun ledgerEntries(team: String): Int = snapshot.ledgers[team]?.entries?.size ?: 0
}
