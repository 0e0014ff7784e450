package flaxfield.fleet

import flaxfield.arrays.TopologyConstraint
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources
import flaxfield.quota.JobOrder

/** Room that is there or on its way, as the demand is packed into it. */
class Bin(
    val machineName: String?,
    val machineType: String,
    val zone: String,
    val preemptible: Boolean,
    var free: Resources,
)

/** A kind of machine to ask for in one zone. */
data class Offer(val machineType: String, val zone: String, val preemptible: Boolean)

/** Queued work as the fleet sees it: [tasks] more tasks like those of [spec]. */
data class CapacityDemand(
    val spec: JobSpec,
    val tasks: Int,
    /** It has waited so long that machines of the ordinary kind may be rented though cheap ones would do. */
    val isUrgent: Boolean = false,
    /** It has waited so long that it may use any machine that is there, also one kept for others. */
    val isStarved: Boolean = false,
)

/** The result of packing: machines to rent, and the hosts that the demand would use. */
data class Packing(val rent: Map<Offer, Int>, val usedHosts: Set<String>)

/** Whether tasks of a job may be put on this type and kind (cheap or not). */
fun interface Suits {
    operator fun invoke(spec: JobSpec, machineType: String, preemptible: Boolean): Boolean
}

/** How much a zone's controllers have to do already, with some more machines. */
fun interface Load {
    operator fun invoke(zone: String, more: Int): Double
}

/** Pure decisions on what to rent. */
object FleetRules {
    /**
     * Packs [demands] in their order into [bins], and into new machines where they do not fit.
     * [price] is what an offer costs an hour, or null if it can't be had now; among equal prices the zone with
     * the least [load] is taken.
     */
    fun pack(
        demands: List<CapacityDemand>,
        bins: List<Bin>,
        machineTypes: Map<String, MachineType>,
        mostNew: Int,
        suits: Suits,
        load: Load = Load { _, _ -> 0.0 },
        price: (Offer) -> Double?,
    ): Packing {
        val open = ArrayList(bins)
        val used = HashSet<String>()
        val rent = LinkedHashMap<Offer, Int>()
        var new = 0
        val least = least(demands)
        for (d in demands) {
            val rule = TopologyConstraint(d.spec, emptyList())
            val zone = if (d.spec.sameZone && d.tasks > 1) zone(d, open, suits) else null
            var tasks = d.tasks
            var next = 0
            while (tasks > 0) {
                while (next < open.size &&
                    !(open[next].zone == (zone ?: open[next].zone) && takes(open[next], d, rule, suits))
                ) {
                    next++
                }
                if (next >= open.size) {
                    if (new >= mostNew) break
                    val loadNow = { zone: String ->
                        load(
                            zone,
                            rent.entries.sumOf { (o, n) ->
                                if (o.zone ==
                                    zone
                                ) {
                                    n
                                } else {
                                    0
                                }
                            },
                        )
                    }
                    val offer = best(d, tasks, machineTypes, rule, suits, loadNow, price) ?: break
                    val machineType = machineTypes.getValue(offer.machineType)
                    rent.merge(offer, 1, Int::plus)
                    new++
                    open += Bin(null, offer.machineType, offer.zone, offer.preemptible, machineType.room)
                    continue
                }
                val bin = open[next]
                // With scatter each task may change where the next one is allowed.
                val n = if (d.spec.spreadAcrossZones) 1 else minOf(tasks, bin.free.countFitting(d.spec.taskResources))
                bin.free -= d.spec.taskResources * n
                bin.machineName?.let(used::add)
                rule.add(bin.zone)
                tasks -= n
            }
            // Full machines are looked at no more: there are hundreds of them, and hundreds of demands.
            open.removeIf { !it.free.canHold(least) }
        }
        return Packing(rent, used)
    }

    /**
     * Whether a job that waits for room should get machines of the dearer kind now where no cheap ones are to be
     * had: a boot and a fetch from here would only just meet the tightest of its aims at start, [waitAimsS], that
     * can still be met, or the last one is missed already. Not if the queue, which takes [queueS] to reach the
     * job's end as tasks on cheap machines end, is fast enough.
     */
    fun pressesToStart(ageS: Double, leadS: Double, queueS: Double, waitAimsS: List<Double>): Boolean {
        if (waitAimsS.isEmpty()) return false
        val open = waitAimsS.filter { it > ageS + leadS }.minOrNull() ?: return ageS > waitAimsS.max()
        return ageS + leadS * LEAD_MARGIN > open && ageS + queueS > open * QUEUE_SHARE
    }

    /**
     * The same for a job of a class without aims: guests' idle work was given dear machines as soon as it had waited
     * for two cancellations. It gets them if else it would not begin in time, or seems never to be done.
     */
    fun pressesWithoutAim(ageS: Double, begun: Boolean): Boolean =
        ageS > JobOrder.START_OBJECTIVE_S * (if (begun) STUCK_SHARE else UNBEGUN_SHARE)

    private const val UNBEGUN_SHARE = 0.5
    private const val STUCK_SHARE = 2.0

    /**
     * A queue that is through within the aim needs no dear machines. With half of the aim as the limit a calm day of
     * stimmpost-zentrale-fleet rented 250 of them beside cheap ones that still booted, and met no aim more for it.
     */
    private const val QUEUE_SHARE = 1.0

    /** Boots take up to half as long again, and images fetched at once share the rate. */
    private const val LEAD_MARGIN = 1.5

    /**
     * Small demands of one kind taken as one, each task as large as the largest: a swarm's thousand jobs, packed one by
     * one into hundreds of machines, took the leader's whole share.
     */
    fun together(demands: List<CapacityDemand>): List<CapacityDemand> {
        val merged = LinkedHashMap<Any, CapacityDemand>()
        for ((n, d) in demands.withIndex()) {
            val s = d.spec
            val small = d.tasks <= SMALL_TASKS && s.jobKind == JobKind.ARRAY && !s.sameZone && !s.spreadAcrossZones
            val kind: Any = if (small) {
                listOf(
                    s.jobClass,
                    s.team,
                    s.machineTypes,
                    s.zone,
                    s.preemptible,
                    d.isUrgent,
                    d.isStarved,
                )
            } else {
                n
            }
            val before = merged[kind]
            merged[kind] = if (before == null) d else before.and(d)
        }
        return merged.values.toList()
    }

    private fun CapacityDemand.and(d: CapacityDemand): CapacityDemand {
        val a = spec.taskResources
        val b = d.spec.taskResources
        val taskResources = Resources(maxOf(a.cpus, b.cpus), maxOf(a.gpus, b.gpus), maxOf(a.ram, b.ram))
        return copy(spec = spec.copy(taskResources = taskResources), tasks = tasks + d.tasks)
    }

    private const val SMALL_TASKS = 4

    /** No demand takes less than this. */
    private fun least(demands: List<CapacityDemand>) = Resources(
        demands.minOfOrNull { it.spec.taskResources.cpus } ?: 0.0,
        demands.minOfOrNull { it.spec.taskResources.gpus } ?: 0.0,
        demands.minOfOrNull { it.spec.taskResources.ram } ?: 0.0,
    )

    /** The zone that has room for most of a job whose tasks must be together; null if none has any. */
    private fun zone(d: CapacityDemand, bins: List<Bin>, suits: Suits): String? {
        val rule = TopologyConstraint(d.spec, emptyList())
        val room = HashMap<String, Int>()
        for (b in bins) {
            if (takes(
                    b,
                    d,
                    rule,
                    suits,
                )
            ) {
                room.merge(b.zone, minOf(d.tasks, b.free.countFitting(d.spec.taskResources)), Int::plus)
            }
        }
        return room.maxByOrNull { minOf(it.value, d.tasks) }?.key
    }

    private fun takes(bin: Bin, d: CapacityDemand, rule: TopologyConstraint, suits: Suits): Boolean =
        TopologyConstraint.allowsMachineKind(d.spec, bin.machineType, bin.zone, bin.preemptible) &&
            (d.isStarved && bin.machineName != null || suits(d.spec, bin.machineType, bin.preemptible)) &&
            bin.free.canHold(d.spec.taskResources) &&
            rule.allows(bin.zone)

    /** The offer with the lowest price per task that it will really run. */
    private fun best(
        demand: CapacityDemand,
        tasks: Int,
        machineTypes: Map<String, MachineType>,
        rule: TopologyConstraint,
        suits: Suits,
        load: (String) -> Double,
        price: (Offer) -> Double?,
    ): Offer? {
        val spec = demand.spec
        val kinds = if (!spec.preemptible) {
            listOf(false)
        } else if (demand.isUrgent) {
            listOf(true, false)
        } else {
            listOf(true)
        }
        var best: Offer? = null
        var least = Double.MAX_VALUE
        var lightest = Double.MAX_VALUE
        for (f in machineTypes.values) {
            if (spec.machineTypes != null && f.label !in spec.machineTypes) continue
            val fits = minOf(f.room.countFitting(spec.taskResources), tasks)
            if (fits <= 0) continue
            for (zone in f.zones) {
                if (!rule.allows(zone)) continue
                for (preemptible in kinds) {
                    if (!suits(spec, f.label, preemptible)) continue
                    val offer = Offer(f.label, zone, preemptible)
                    val cost = (price(offer) ?: continue) / fits
                    if (cost < least || cost == least && load(zone) < lightest) {
                        least = cost
                        lightest = load(zone)
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
    fun spares(
        classes: List<ClassRate>,
        leadS: (JobSpec) -> Double,
        gangFactor: Double,
        arrayFactor: Double,
    ): List<CapacityDemand> = classes.mapNotNull { c ->
        val factor = when {
            c.latest.jobKind == JobKind.GANG -> gangFactor
            c.latest.preemptible -> arrayFactor
            else -> 0.0
        }
        val n = Math.ceil(c.tasksPerS * leadS(c.latest) * factor).toInt()
        if (n > 0) CapacityDemand(c.latest, n) else null
    }
}

/** How fast tasks of a class arrive, and its latest job as a pattern for the next ones. */
data class ClassRate(val latest: JobSpec, val tasksPerS: Double)
