package flaxfield.fleet

import flaxfield.arrays.ZoneRule
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Room
import flaxfield.jobs.Shape

/** Room that is there or on its way, as the demand is packed into it. */
class Bin(val host: String?, val flavor: String, val site: String, val lendable: Boolean, var free: Room) {
    var used = false
}

/** A kind of machine to ask for in one zone. */
data class Offer(val flavor: String, val site: String, val lendable: Boolean)

/** Queued work as the fleet sees it: [tasks] more tasks like those of [spec]. */
data class Demand(
    val spec: JobSpec,
    val tasks: Int,
    /** It has waited so long that machines of the ordinary kind may be rented though cheap ones would do. */
    val pressing: Boolean = false,
)

/** The result of packing: machines to rent, and the hosts that the demand would use. */
data class Packing(val rent: Map<Offer, Int>, val usedHosts: Set<String>)

/** Whether tasks of a job may be put on this type and kind (cheap or not). */
fun interface Suits {
    operator fun invoke(spec: JobSpec, flavor: String, lendable: Boolean): Boolean
}

/** Pure decisions on what to rent. */
object FleetRules {
    /** Tasks looked at in one packing: a huge array must not eat the leader's core. */
    const val MOST_TASKS = 600

    /**
     * Packs [demands] in their order into [bins], and into new machines where they do not fit.
     * [price] is what an offer costs an hour, or null if it can't be had now.
     */
    fun pack(
        demands: List<Demand>,
        bins: List<Bin>,
        flavors: Map<String, Flavor>,
        mostNew: Int,
        suits: Suits,
        price: (Offer) -> Double?,
    ): Packing {
        val all = ArrayList(bins)
        val rent = HashMap<Offer, Int>()
        var left = MOST_TASKS
        var new = 0
        for (d in demands) {
            val rule = ZoneRule(d.spec, emptyList())
            var tasks = minOf(d.tasks, left)
            left -= tasks
            var next = 0
            while (tasks > 0) {
                while (next < all.size && !takes(all[next], d.spec, rule, suits)) next++
                if (next >= all.size) {
                    if (new >= mostNew) break
                    val offer = best(d, tasks, flavors, rule, suits, price) ?: break
                    val flavor = flavors.getValue(offer.flavor)
                    rent.merge(offer, 1, Int::plus)
                    new++
                    all += Bin(null, offer.flavor, offer.site, offer.lendable, flavor.room)
                    continue
                }
                val bin = all[next]
                bin.free -= d.spec.need
                bin.used = true
                rule.add(bin.site)
                tasks--
            }
        }
        return Packing(rent, all.mapNotNullTo(HashSet()) { b -> b.host?.takeIf { b.used } })
    }

    private fun takes(bin: Bin, spec: JobSpec, rule: ZoneRule, suits: Suits): Boolean =
        ZoneRule.kindAllowed(spec, bin.flavor, bin.site, bin.lendable) &&
            suits(spec, bin.flavor, bin.lendable) &&
            bin.free.holds(spec.need) &&
            rule.allows(bin.site)

    /** The offer with the lowest price per task that it will really run. */
    private fun best(
        demand: Demand,
        tasks: Int,
        flavors: Map<String, Flavor>,
        rule: ZoneRule,
        suits: Suits,
        price: (Offer) -> Double?,
    ): Offer? {
        val spec = demand.spec
        val kinds = if (!spec.lendable) {
            listOf(false)
        } else if (demand.pressing) {
            listOf(true, false)
        } else {
            listOf(true)
        }
        var best: Offer? = null
        var least = Double.MAX_VALUE
        for (f in flavors.values) {
            if (spec.flavors != null && f.label !in spec.flavors) continue
            val fits = minOf(f.room.count(spec.need), tasks)
            if (fits <= 0) continue
            for (site in f.sites) {
                if (!rule.allows(site)) continue
                for (lendable in kinds) {
                    if (!suits(spec, f.label, lendable)) continue
                    val offer = Offer(f.label, site, lendable)
                    val cost = (price(offer) ?: continue) / fits
                    if (cost < least) {
                        least = cost
                        best = offer
                    }
                }
            }
        }
        return best
    }

    /**
     * Spare demand: as many tasks of each class as arrive while a machine boots and fetches, times the
     * factor of their shape. Arrays get spares only of the cheap kind.
     */
    fun spares(classes: List<ClassRate>, leadS: (JobSpec) -> Double, gangFactor: Double, arrayFactor: Double): List<Demand> =
        classes.mapNotNull { c ->
            val factor = when {
                c.latest.shape == Shape.GANG -> gangFactor
                c.latest.lendable -> arrayFactor
                else -> 0.0
            }
            val n = Math.ceil(c.tasksPerS * leadS(c.latest) * factor).toInt()
            if (n > 0) Demand(c.latest, n) else null
        }
}

/** How fast tasks of a class arrive, and its latest job as a pattern for the next ones. */
data class ClassRate(val latest: JobSpec, val tasksPerS: Double)
