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

/**
 * What capacity the fleet should have: that for the waiting tasks, in the order in which they are served, and spare
 * capacity for the jobs expected next. Owned by the owner thread.
 */
class CapacityPlanner(private val context: ControllerContext) {
    private val arrivals = ArrivalTracker(context.view)

    /** Records the jobs that have arrived; called at every run, on followers as well. */
    fun recordArrivals() = arrivals.record(context.nowMs)

    /** The demands in the order in which they are served. */
    fun demands(): List<CapacityDemand> =
        DemandMerger.merge(waitingDemands()) + context.subsystem?.demands().orEmpty() + spareDemands()

    private fun spareDemands(): List<CapacityDemand> = SpareCapacity.demands(
        arrivals.rates(context.nowMs),
        ::provisioningS,
        context.operator.spareFactor,
        context.operator.arraySpareFactor,
    )

    private fun waitingDemands(): List<CapacityDemand> {
        val usage = context.scheduling.teamUsage()
        val waiting = waitingJobs()
        val spotCompletionsPerS = spotCompletionsPerS()
        var queuedSpotTasks = 0
        val overdueBeforeMs = JobOrder.overdueBeforeMs(context.nowMs)
        val ordered = context.scheduling.schedulingOrder(waiting, usage)
        val demands = ArrayList<CapacityDemand>()
        for (job in LargeGangReservation.withReservedFirst(reservedGang(waiting, usage), ordered)) {
            // A job that seems to be a mistake is tried on existing machines for a long time before any is rented.
            if (job.isDeprioritized(overdueBeforeMs)) continue
            val tasks = minOf(slots(job), context.scheduling.admissibleTasks(job, usage))
            if (tasks <= 0 || job.isGang && tasks < job.spec.taskCount) continue
            usage.add(job.spec.team, job.spec.taskResources * tasks)
            if (!job.isGang && job.spec.preemptible) queuedSpotTasks += tasks
            val queueS = if (spotCompletionsPerS > 0.0) queuedSpotTasks / spotCompletionsPerS else Double.MAX_VALUE
            demands += CapacityDemand(job.spec, tasks, isUrgent(job, queueS), context.scheduling.isStarved(job))
        }
        return demands
    }

    /** Jobs with pending tasks that may start now and have no machines reserved yet. */
    private fun waitingJobs(): List<Job> {
        val view = context.view
        val withReservation = view.machines.values.mapNotNullTo(HashSet()) { view.activeReservation(it)?.job }
        return view.jobs.values.filter {
            it.pendingCount > 0 && !it.cancelled && it.id !in withReservation && it.retryAtMs <= context.nowMs
        }
    }

    /** How many tasks a second finish on spot machines, from their expected run times. */
    private fun spotCompletionsPerS(): Double = context.view.jobs.values
        .filter { !it.isGang && it.spec.preemptible }
        .sumOf { it.placedCount / maxOf(1.0, it.spec.expectedRuntimeS) }

    /** The large gang that capacity is kept together for, unless its team's limit keeps it from starting. */
    private fun reservedGang(waiting: List<Job>, usage: TeamUsage): Job? {
        val gangs = waiting.filter { it.isGang && it.placedCount == 0 }
        return LargeGangReservation.selectGang(gangs, LargeGangReservation.overdueBeforeMs(context.nowMs))?.takeIf {
            usage.remainingTasks(it.spec.team, it.spec.taskResources) >= it.spec.taskCount
        }
    }

    /**
     * How many task slots to provide for a job's pending tasks: fewer than tasks, where one slot runs several in turn.
     */
    private fun slots(job: Job): Int {
        if (job.isGang) return job.pendingCount
        val bootTimeS = allowedMachineTypes(job.spec).minOfOrNull { it.bootTimeS } ?: 0.0
        return ShortTaskPolicy.slotsToProvision(
            job.spec,
            job.pendingCount,
            job.placedCount,
            bootTimeS,
            context.settings.workers.heartbeatIntervalS,
        )
    }

    /**
     * Whether a job that may use both kinds gets on-demand machines, which cost several times as much as spot machines:
     * only when it has waited long, or sooner when there are no spot machines for it at all.
     */
    private fun isUrgent(job: Job, queueS: Double): Boolean {
        if (context.zones?.isRestrictedToSpot(job) == true) return false
        val ageS = (context.nowMs - job.submittedMs) / MILLIS_PER_SECOND
        val objectives = context.settings.objectives.filter { it.jobClass == job.spec.jobClass }
        val startObjectivesS = objectives.filter { it.kind == START_OBJECTIVE }.map { it.withinS }
        if (OnDemandUrgency.isStartObjectiveAtRisk(ageS, provisioningS(job.spec), queueS, startObjectivesS)) return true
        val hasSpotMachines = context.view.machines.values.any {
            it.preemptible && TopologyConstraint.allowsMachineKind(job.spec, it.machineType, it.zone, true)
        }
        if (objectives.isEmpty() && hasSpotMachines) {
            return OnDemandUrgency.isOverdueWithoutObjective(ageS, hasStarted = job.placedCount + job.doneCount > 0)
        }
        val withinS = objectives.maxOfOrNull { it.withinS } ?: context.settings.workers.cancelS
        return ageS > withinS * (if (hasSpotMachines) URGENT_SHARE else URGENT_SHARE_WITHOUT_SPOT)
    }

    /** How long a job like [spec] waits for a new machine: boot and image fetch on the cheapest type. */
    private fun provisioningS(spec: JobSpec): Double {
        val machineType = allowedMachineTypes(spec).minByOrNull { it.onDemandPricePerHour } ?: return 0.0
        return machineType.bootTimeS + spec.imageGb / machineType.fetchGbPerS
    }

    private fun allowedMachineTypes(spec: JobSpec): List<MachineType> =
        context.view.machineTypes.values.filter { JobAdmission.allowed(spec, it) }

    private companion object {
        /** The kind of objective about the time until a job starts, as the settings name it. */
        const val START_OBJECTIVE = "wait"

        /** A job is urgent after this share of its longest objective; sooner without spot machines. */
        const val URGENT_SHARE = 2.0
        const val URGENT_SHARE_WITHOUT_SPOT = 0.2
    }
}
