package flaxfield.operator

import flaxfield.drain.Availability
import flaxfield.drain.FleetSnapshot
import flaxfield.drain.TeamAvailability
import flaxfield.drain.UnavailabilityReason
import flaxfield.operator.v1.Budget
import flaxfield.operator.v1.Spending

/** Builds the responses about the teams' disruption budgets from one snapshot. Pure. */
class BudgetResponses(private val snapshot: FleetSnapshot) {
    /**
     * Returns the budgets of the teams with tasks or with a configured budget, sorted by team. Returns none while the
     * fleet file of a member is unknown.
     */
    fun budgets(): List<Budget> {
        val policy = snapshot.policy() ?: return emptyList()
        val availability = Availability(snapshot, policy)
        val configuredTeams = snapshot.configs.values.flatMapTo(sortedSetOf()) { it.budgets.keys }
        return (configuredTeams + availability.teams.keys).sorted().map { budget(it, availability.of(it)) }
    }

    /** Returns the budget of [team], even if it has no tasks; null while the fleet file of a member is unknown. */
    fun budgetOf(team: String): Budget? = snapshot.policy()?.let { budget(team, Availability(snapshot, it).of(team)) }

    private fun budget(team: String, availability: TeamAvailability): Budget {
        val byDrain = snapshot.ledgers[team]?.entries?.values.orEmpty().groupingBy { it.drain }.eachCount()
        val byOtherCause = availability.unavailableTasks
            .filterKeys { it != UnavailabilityReason.DRAINED }
            .mapKeys { it.key.name.lowercase() }
        val byCause = byDrain.toSortedMap() + byOtherCause.toSortedMap()
        return Budget.newBuilder()
            .setTeam(team)
            .setExpected(availability.expected.toMessage())
            .setAllowed(availability.allowed.toMessage())
            .setUnavailable(availability.unavailable.toMessage())
            .addAllSpent(byCause.map { (cause, tasks) -> Spending.newBuilder().setBy(cause).setTasks(tasks).build() })
            .build()
    }
}
