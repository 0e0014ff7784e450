package flaxfield.zones

import flaxfield.drain.Capacity
import flaxfield.quota.DominantShare
import flaxfield.settings.Team

/** What one team wants of what is left, in one tier. */
data class TeamWant(
    val team: String,
    val want: Capacity,
    /** What it is guaranteed is the weight of its share; null for an unknown team. */
    val guarantee: Team?,
)

/** A team's fair part of what is left, and what it has. */
data class TeamShare(val team: String, val target: Capacity, val held: Capacity) {
    /** How far it is below its target, as a part of it by its dominant resource; 0 if it has all of it or more. */
    val shortfall: Double get() = maxOf(
        missing(target.cpus, held.cpus),
        missing(target.accelerators, held.accelerators),
    )

    private fun missing(target: Double, held: Double) = if (target <=
        0.0
    ) {
        0.0
    } else {
        ((target - held) / target).coerceAtLeast(0.0)
    }
}

/**
 * Pure: weighted max-min fairness over CPUs and accelerators together. Every team's part grows at the same pace
 * relative to its guarantee, until it has what it wants or one of the resources that it wants is used up.
 */
object FairShares {
    /** What each of [wants] should get of [room]. [DominantShare] is what grows. */
    fun targets(room: Capacity, wants: List<TeamWant>): Map<String, Capacity> {
        val got = wants.associateTo(HashMap()) { it.team to 0.0 }
        var left = room
        val open = wants.filterTo(ArrayList()) { speed(it) > 0.0 }
        while (open.isNotEmpty()) {
            val pace = open.fold(Capacity.NONE) { sum, w -> sum + w.want * speed(w) }
            // How long all may grow until a team has all it wants, or a resource is used up.
            val satisfied = open.minOf { (1.0 - got.getValue(it.team)) / speed(it) }
            val step = minOf(satisfied, time(left.cpus, pace.cpus), time(left.accelerators, pace.accelerators))
            for (w in open) got.merge(w.team, step * speed(w), Double::plus)
            left += pace * -step
            open.removeIf { got.getValue(it.team) >= 1.0 - EPSILON || isBlocked(it, left) }
        }
        return wants.associate { it.team to it.want * got.getValue(it.team).coerceAtMost(1.0) }
    }

    /** The part of what it wants by which a team grows while its share of its guarantee grows by one. */
    private fun speed(w: TeamWant): Double {
        // What it wants may be none of what it is guaranteed: then units count, as for a team without a guarantee.
        val share = DominantShare.of(w.want.cpus, w.want.accelerators, w.guarantee)
        val whole = if (share > 0.0) share else maxOf(w.want.cpus, w.want.accelerators)
        return if (whole <= 0.0) 0.0 else 1.0 / whole
    }

    private fun time(left: Double, pace: Double): Double = if (pace <=
        0.0
    ) {
        Double.MAX_VALUE
    } else {
        left.coerceAtLeast(0.0) / pace
    }

    private fun isBlocked(w: TeamWant, left: Capacity) =
        w.want.cpus > 0.0 && left.cpus <= EPSILON || w.want.accelerators > 0.0 && left.accelerators <= EPSILON

    private const val EPSILON = 1e-9
}
