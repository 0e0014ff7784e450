package flaxfield.fleet

import flaxfield.arrays.ShortTasks
import flaxfield.arrays.ZoneRule
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Validation
import flaxfield.node.NodeContext
import flaxfield.quota.JobOrder

/** What the fleet is to hold: the tasks that wait, in their order, and spares for those to come. */
class FleetDemand(private val hub: NodeContext) {
    /** When jobs of a class came, for the spare machines; filled from the view. */
    private val arrivals = HashMap<String, ArrayDeque<Job>>()
    private val counted = HashSet<String>()

    /** Demands in the order in which they are served. */
    fun demands(): List<Demand> {
        val w = hub.world
        val use = hub.use()
        val guaranteed = hub.guaranteed()
        val claimed = w.machines.values.mapNotNullTo(HashSet()) { m -> w.claimOn(m)?.job }
        val waiting = w.jobs.values.filter { it.pendingCount > 0 && !it.cancelled && it.id !in claimed && it.retryAtMs <= hub.nowMs }
        val result = ArrayList<Demand>()
        // How fast tasks that fill cheap machines end: so fast the queue for them moves by itself.
        val endsPerS = w.jobs.values.filter { !it.isGang && it.spec.lendable }.sumOf { it.placedCount / maxOf(1.0, it.spec.expectS) }
        var ahead = 0
        val late = JobOrder.lateMs(hub.nowMs)
        for (j in JobOrder.sort(waiting, guaranteed, use, late, hub::aimed)) {
            // What seems to be a mistake is tried on what is there: nothing is rented for it, for a long while.
            if (j.comesLast(late)) continue
            val n = minOf(places(j), hub.allows(j, use))
            if (n <= 0 || j.isGang && n < j.spec.shards) continue
            use.add(j.spec.owner, j.spec.need * n)
            if (!j.isGang && j.spec.lendable) ahead += n
            result += Demand(j.spec, n, pressing(j, if (endsPerS > 0.0) ahead / endsPerS else Double.MAX_VALUE), hub.waitedLong(j))
        }
        return FleetRules.together(result) + FleetRules.spares(rates(), ::lead, hub.operator.spareFactor, hub.operator.arraySpareFactor)
    }

    /** How many places a job's waiting tasks are worth: fewer than there are tasks, where one serves many in turn. */
    private fun places(j: Job): Int {
        if (j.isGang) return j.pendingCount
        val readyS = hub.world.flavors.values.filter { Validation.allowed(j.spec, it) }.minOfOrNull { it.readyS } ?: 0.0
        return ShortTasks.rented(j.spec, j.pendingCount, j.placedCount, readyS, hub.settings.workers.reportS)
    }

    /**
     * Ordinary machines cost several times as much as cheap ones: a job that may use both gets them only
     * when it is long late, or soon when there are no cheap ones for it at all.
     */
    private fun pressing(j: Job, queueS: Double): Boolean {
        val ageS = (hub.nowMs - j.submittedMs) / MS
        val aims = hub.settings.objectives.filter { it.jobClass == j.spec.jobClass }
        if (FleetRules.pressesToStart(ageS, lead(j.spec), queueS, aims.filter { it.kind == "wait" }.map { it.withinS })) return true
        val cheap = hub.world.machines.values.any { it.lendable && ZoneRule.kindAllowed(j.spec, it.flavor, it.site, true) }
        if (aims.isEmpty() && cheap) return FleetRules.pressesWithoutAim(ageS, begun = j.placedCount + j.doneCount > 0)
        val within = aims.maxOfOrNull { it.withinS } ?: hub.settings.workers.cancelS
        return ageS > within * (if (cheap) PRESSING_SHARE else PRESSING_SHARE_ALONE)
    }

    /** What a job of this shape waits for on a fresh machine: boot and image. */
    private fun lead(spec: JobSpec): Double {
        val f = hub.world.flavors.values.filter { Validation.allowed(spec, it) }.minByOrNull { it.rate } ?: return 0.0
        return f.readyS + spec.pullGb / f.fetchGbPerS
    }

    private fun rates(): List<ClassRate> {
        val from = hub.nowMs - (RATE_WINDOW_S * MS).toLong()
        return arrivals.values.mapNotNull { seen ->
            while (seen.isNotEmpty() && seen.first().submittedMs < from) seen.removeFirst()
            seen.lastOrNull()?.let { last -> ClassRate(last.spec, seen.sumOf { it.spec.shards } / RATE_WINDOW_S) }
        }
    }

    /** Notes the jobs that have come; every node does, so that a new leader knows the rates at once. */
    fun watchArrivals() {
        val from = hub.nowMs - RATE_WINDOW_S * MS
        for (j in hub.world.jobs.values) {
            if (j.submittedMs < from || !counted.add(j.id)) continue
            val seen = arrivals.getOrPut(j.spec.jobClass) { ArrayDeque() }
            seen.addLast(j)
            if (seen.size > MOST_ARRIVALS) seen.removeFirst()
        }
        if (counted.size > MOST_COUNTED) counted.retainAll(hub.world.jobs.keys)
    }

    private companion object {
        const val MS = 1000.0

        /** A job that has waited this share of its longest aim is pressing; sooner where nothing cheap is to be had. */
        const val PRESSING_SHARE = 2.0
        const val PRESSING_SHARE_ALONE = 0.2
        const val RATE_WINDOW_S = 120.0
        const val MOST_ARRIVALS = 200
        const val MOST_COUNTED = 10_000
    }
}
