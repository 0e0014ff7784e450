package flaxfield.drain

import flaxfield.quota.DominantShare
import flaxfield.settings.Team

/** The capacity that the jobs of one team demand in one recovery tier. */
data class TeamDemand(
    val team: String,
    val demand: Capacity,
    /** The team's quota, whose guarantee is the weight of the team's share; null for an unknown team. */
    val guarantee: Team?,
)

/** A team's fair share of the available capacity, and the capacity allocated to its tasks. */
data class TeamShare(val team: String, val target: Capacity, val allocated: Capacity) {
    /**
     * How far the team is below its target, as a fraction of the target. This is the larger fraction of the two
     * resources, and 0 if the target is met.
     */
    val shortfall: Double
        get() = maxOf(
            missingFraction(target.cpus, allocated.cpus),
            missingFraction(target.accelerators, allocated.accelerators),
        )

    private fun missingFraction(target: Double, allocated: Double): Double =
        if (target <= 0.0) 0.0 else ((target - allocated) / target).coerceAtLeast(0.0)
}

/**
 * Computes weighted max-min fair shares of CPUs and accelerators by progressive filling. The [DominantShare] of each
 * team's guarantee grows at the same rate until the team's demand is met or a resource that it demands is exhausted.
 * Pure functions.
 */
object FairShares {
    private const val EPSILON = 1e-9

    /** Returns the fair share of [available] for each team of [demands], by team name. */
    fun targets(available: Capacity, demands: List<TeamDemand>): Map<String, Capacity> {
        val filledFraction = demands.associateTo(HashMap()) { it.team to 0.0 }
        var remaining = available
        val active = demands.filterTo(ArrayList()) { fillRate(it) > 0.0 }
        while (active.isNotEmpty()) {
            val consumption = active.fold(Capacity.NONE) { sum, team -> sum + team.demand * fillRate(team) }
            val untilSatisfied = active.minOf { (1.0 - filledFraction.getValue(it.team)) / fillRate(it) }
            val step = minOf(
                untilSatisfied,
                untilExhausted(remaining.cpus, consumption.cpus),
                untilExhausted(remaining.accelerators, consumption.accelerators),
            )
            for (team in active) filledFraction.merge(team.team, step * fillRate(team), Double::plus)
            remaining += consumption * -step
            active.removeIf { filledFraction.getValue(it.team) >= 1.0 - EPSILON || isBlocked(it, remaining) }
        }
        return demands.associate { it.team to it.demand * filledFraction.getValue(it.team).coerceAtMost(1.0) }
    }

    /** Returns the fraction of the team's demand that is filled while its dominant share grows by one. */
    private fun fillRate(team: TeamDemand): Double {
        val share = DominantShare.of(team.demand.cpus, team.demand.accelerators, team.guarantee)
        // A team that demands none of its guaranteed resources is treated like a team without a guarantee.
        val fullShare = if (share > 0.0) share else maxOf(team.demand.cpus, team.demand.accelerators)
        return if (fullShare <= 0.0) 0.0 else 1.0 / fullShare
    }

    private fun untilExhausted(remaining: Double, consumption: Double): Double =
        if (consumption <= 0.0) Double.MAX_VALUE else remaining.coerceAtLeast(0.0) / consumption

    private fun isBlocked(team: TeamDemand, rest: Capacity) =
        team.demand.cpus > 0.0 && rest.cpus <= EPSILON || team.demand.accelerators > 0.0 && rest.accelerators <= EPSILON
}
