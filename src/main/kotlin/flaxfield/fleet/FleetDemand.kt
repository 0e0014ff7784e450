package flaxfield.fleet

import flaxfield.MILLIS_PER_SECOND
import flaxfield.arrays.ShortTaskPolicy
import flaxfield.arrays.TopologyConstraint
import flaxfield.controller.ControllerContext
import flaxfield.gangs.LargeGangReservation
import flaxfield.jobs.Job
import flaxfield.jobs.JobAdmission
import flaxfield.jobs.JobSpec
import flaxfield.quota.JobOrder
import flaxfield.quota.TeamUsage

/** What the fleet is to hold: the tasks that wait, in their order, and spares for those to come. */
class FleetDemand(private val context: ControllerContext) {
    /** When jobs of a class came, for the spare machines; filled from the view. */
    private val arrivals = HashMap<String, ArrayDeque<Job>>()
    private val counted = HashSet<String>()

    /** Demands in the order in which they are served. */
    fun demands(): List<CapacityDemand> {
        val w = context.view
        val use = context.scheduling.teamUsage()
        val claimed = w.machines.values.mapNotNullTo(HashSet()) { m -> w.activeReservation(m)?.job }
        val waiting = w.jobs.values.filter {
            it.pendingCount > 0 &&
                !it.cancelled &&
                it.id !in claimed &&
                it.retryAtMs <= context.nowMs
        }
        val result = ArrayList<CapacityDemand>()
        // How fast tasks that fill cheap machines end: so fast the queue for them moves by itself.
        val endsPerS = w.jobs.values.filter { !it.isGang && it.spec.preemptible }.sumOf {
            it.placedCount /
                maxOf(1.0, it.spec.expectedRuntimeS)
        }
        var ahead = 0
        val late = JobOrder.overdueBeforeMs(context.nowMs)
        val ordered = context.scheduling.schedulingOrder(waiting, use)
        for (j in LargeGangReservation.withReservedFirst(gathers(waiting, use), ordered)) {
            // What seems to be a mistake is tried on what is there: nothing is rented for it, for a long while.
            if (j.isDeprioritized(late)) continue
            val n = minOf(places(j), context.scheduling.admissibleTasks(j, use))
            if (n <= 0 || j.isGang && n < j.spec.taskCount) continue
            use.add(j.spec.team, j.spec.taskResources * n)
            if (!j.isGang && j.spec.preemptible) ahead += n
            result +=
                CapacityDemand(
                    j.spec,
                    n,
                    isUrgent(
                        j,
                        if (endsPerS >
                            0.0
                        ) {
                            ahead / endsPerS
                        } else {
                            Double.MAX_VALUE
                        },
                    ),
                    context.scheduling.isStarved(j),
                )
        }
        return FleetRules.together(result) + context.subsystem?.demands().orEmpty() +
            FleetRules.spares(rates(), ::lead, context.operator.spareFactor, context.operator.arraySpareFactor)
    }

    /** The gang that room is gathered for, unless its team's limit keeps it from starting. */
    private fun gathers(waiting: List<Job>, use: TeamUsage): Job? {
        val gangs = waiting.filter { it.isGang && it.placedCount == 0 }
        return LargeGangReservation.selectGang(gangs, LargeGangReservation.overdueBeforeMs(context.nowMs))?.takeIf {
            use.remainingTasks(it.spec.team, it.spec.taskResources) >= it.spec.taskCount
        }
    }

    /** How many places a job's waiting tasks are worth: fewer than there are tasks, where one serves many in turn. */
    private fun places(j: Job): Int {
        if (j.isGang) return j.pendingCount
        val bootTimeS =
            context.view.machineTypes.values.filter { JobAdmission.allowed(j.spec, it) }.minOfOrNull { it.bootTimeS }
                ?: 0.0
        return ShortTaskPolicy.placesToProvision(
            j.spec,
            j.pendingCount,
            j.placedCount,
            bootTimeS,
            context.settings.workers.heartbeatIntervalS,
        )
    }

    /**
     * Ordinary machines cost several times as much as cheap ones: a job that may use both gets them only
     * when it is long late, or soon when there are no cheap ones for it at all.
     */
    private fun isUrgent(j: Job, queueS: Double): Boolean {
        if (context.zones?.isRestrictedToSpot(j) == true) return false
        val ageS = (context.nowMs - j.submittedMs) / MILLIS_PER_SECOND
        val aims = context.settings.objectives.filter { it.jobClass == j.spec.jobClass }
        if (FleetRules.pressesToStart(
                ageS,
                lead(j.spec),
                queueS,
                aims.filter {
                    it.kind == "wait"
                }.map { it.withinS },
            )
        ) {
            return true
        }
        val cheap = context.view.machines.values.any {
            it.preemptible &&
                TopologyConstraint.allowsMachineKind(j.spec, it.machineType, it.zone, true)
        }
        if (aims.isEmpty() && cheap) return FleetRules.pressesWithoutAim(ageS, begun = j.placedCount + j.doneCount > 0)
        val within = aims.maxOfOrNull { it.withinS } ?: context.settings.workers.cancelS
        return ageS > within * (if (cheap) PRESSING_SHARE else PRESSING_SHARE_ALONE)
    }

    /** What a job of this shape waits for on a fresh machine: boot and image. */
    private fun lead(spec: JobSpec): Double {
        val f =
            context.view.machineTypes.values.filter { JobAdmission.allowed(spec, it) }.minByOrNull { it.rate }
                ?: return 0.0
        return f.bootTimeS + spec.imageGb / f.fetchGbPerS
    }

    private fun rates(): List<ClassRate> {
        val from = context.nowMs - (RATE_WINDOW_S * MILLIS_PER_SECOND).toLong()
        return arrivals.values.mapNotNull { seen ->
            while (seen.isNotEmpty() && seen.first().submittedMs < from) seen.removeFirst()
            seen.lastOrNull()?.let { last -> ClassRate(last.spec, seen.sumOf { it.spec.taskCount } / RATE_WINDOW_S) }
        }
    }

    /** Notes the jobs that have come; every node does, so that a new leader knows the rates at once. */
    fun watchArrivals() {
        val from = context.nowMs - RATE_WINDOW_S * MILLIS_PER_SECOND
        for (j in context.view.jobs.values) {
            if (j.submittedMs < from || !counted.add(j.id)) continue
            val seen = arrivals.getOrPut(j.spec.jobClass) { ArrayDeque() }
            seen.addLast(j)
            if (seen.size > MAX_ARRIVALS) seen.removeFirst()
        }
        if (counted.size > MAX_COUNTED) counted.retainAll(context.view.jobs.keys)
    }

    private companion object {

        /** A job that has waited this share of its longest aim is pressing; sooner where nothing cheap is to be had. */
        const val PRESSING_SHARE = 2.0
        const val PRESSING_SHARE_ALONE = 0.2
        const val RATE_WINDOW_S = 120.0
        const val MAX_ARRIVALS = 200
        const val MAX_COUNTED = 10_000
    }
}
