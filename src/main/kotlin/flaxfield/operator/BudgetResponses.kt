package flaxfield.operator

import flaxfield.drain.UnavailabilityReason
import flaxfield.drain.Availability
import flaxfield.drain.FleetSnapshot
import flaxfield.drain.TeamAvailability
import flaxfield.operator.v1.Budget
import flaxfield.operator.v1.Spending

/** Pure: the teams' disruption budgets in one snapshot as operators see them. */
class BudgetResponses(private val snapshot: FleetSnapshot) {
    /** The teams with tasks or with budgets of their own; none while a member runs without a fleet file. */
    fun budgets(): List<Budget> {
        val policy = snapshot.policy() ?: return emptyList()
        val availability = Availability(snapshot, policy)
        val named = snapshot.configs.values.flatMapTo(sortedSetOf()) { it.budgets.keys }
        return (named + availability.teams.keys).sorted().map { budget(it, availability.of(it)) }
    }

    /** The budget of [team], which may be without tasks; null while a member runs without a fleet file. */
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
