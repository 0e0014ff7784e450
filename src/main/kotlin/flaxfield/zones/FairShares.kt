package flaxfield.zones

import flaxfield.drain.Capacity
import flaxfield.quota.DominantShare
import flaxfield.settings.Team

/** What one team asks for of the available capacity, in one tier. */
data class TeamWant(
    val team: String,
    val want: Capacity,
    /** The team's quota; its guarantee is the weight of its share. Null for an unknown team. */
    val guarantee: Team?,
)

/** A team's fair share of the available capacity, and what it has. */
data class TeamShare(val team: String, val target: Capacity, val allocated: Capacity) {
    /** How far the team is below its target, as a share of it by its dominant resource; 0 if it has at least that. */
    val shortfall: Double
        get() = maxOf(missing(target.cpus, allocated.cpus), missing(target.accelerators, allocated.accelerators))

    private fun missing(target: Double, allocated: Double): Double =
        if (target <= 0.0) 0.0 else ((target - allocated) / target).coerceAtLeast(0.0)
}

/**
 * Pure: weighted max-min fairness over CPUs and accelerators together. Every team's [DominantShare] of its guarantee
 * grows at the same pace, until the team has what it asked for or a resource that it asked for is used up.
 */
object FairShares {
    private const val EPSILON = 1e-9

    /** What each team of [wants] should get of [available], by team. */
    fun targets(available: Capacity, wants: List<TeamWant>): Map<String, Capacity> {
        val granted = wants.associateTo(HashMap()) { it.team to 0.0 }
        var left = available
        val growing = wants.filterTo(ArrayList()) { growth(it) > 0.0 }
        while (growing.isNotEmpty()) {
            val consumption = growing.fold(Capacity.NONE) { sum, team -> sum + team.want * growth(team) }
            val untilSatisfied = growing.minOf { (1.0 - granted.getValue(it.team)) / growth(it) }
            val step = minOf(
                untilSatisfied,
                untilUsedUp(left.cpus, consumption.cpus),
                untilUsedUp(left.accelerators, consumption.accelerators),
            )
            for (team in growing) granted.merge(team.team, step * growth(team), Double::plus)
            left += consumption * -step
            growing.removeIf { granted.getValue(it.team) >= 1.0 - EPSILON || isBlocked(it, left) }
        }
        return wants.associate { it.team to it.want * granted.getValue(it.team).coerceAtMost(1.0) }
    }

    /** The part of its request by which a team grows while its share of its guarantee grows by one. */
    private fun growth(team: TeamWant): Double {
        val share = DominantShare.of(team.want.cpus, team.want.accelerators, team.guarantee)
        // A request for none of the guaranteed resources is measured in units, as that of a team without a guarantee.
        val fullShare = if (share > 0.0) share else maxOf(team.want.cpus, team.want.accelerators)
        return if (fullShare <= 0.0) 0.0 else 1.0 / fullShare
    }

    private fun untilUsedUp(left: Double, consumption: Double): Double =
        if (consumption <= 0.0) Double.MAX_VALUE else left.coerceAtLeast(0.0) / consumption

    private fun isBlocked(team: TeamWant, left: Capacity) =
        team.want.cpus > 0.0 && left.cpus <= EPSILON || team.want.accelerators > 0.0 && left.accelerators <= EPSILON
}
