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
 * Computes the capacity that the fleet needs: for pending tasks in scheduling order, and spare capacity for expected
 * jobs. Confined to the owner thread.
 */
class CapacityPlanner(private val context: ControllerContext) {
    private val arrivals = ArrivalTracker(context.view)

    /** Records newly arrived jobs. Called at every tick, on followers as well. */
    fun recordArrivals() = arrivals.record(context.nowMs)

    /**
     * Returns the demands by precedence: those of pending tasks in scheduling order, those of the subsystem, and those
     * for spare capacity.
     */
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
        val reservedMachines = reservedMachines()
        val waiting = waitingJobs(reservedMachines)
        val spotCompletionsPerS = spotCompletionsPerS()
        val hasSpotMachines = context.view.machines.values.any { it.preemptible }
        var queuedSpotTasks = 0
        val overdueBeforeMs = JobOrder.overdueBeforeMs(context.nowMs)
        val ordered = context.scheduling.schedulingOrder(waiting, usage)
        val demands = ArrayList<CapacityDemand>()
        for (job in LargeGangReservation.withReservedFirst(reservedGang(waiting, usage), ordered)) {
            // A job that keeps failing uses existing machines only, until its retry is long overdue.
            if (job.isDeprioritized(overdueBeforeMs)) continue
            val tasks = minOf(slotsToProvision(job), context.scheduling.admissibleTasks(job, usage))
            if (tasks <= 0 || job.isGang && tasks < job.spec.taskCount) continue
            usage.add(job.spec.team, job.spec.taskResources * tasks)
            if (!job.isGang && job.spec.preemptible) queuedSpotTasks += tasks
            val queueWaitS = if (spotCompletionsPerS > 0.0) queuedSpotTasks / spotCompletionsPerS else Double.MAX_VALUE
            val reserved = reservedMachines[job.id].orEmpty()
            demands += demand(job, tasks, isUrgent(job, queueWaitS), hasSpotMachines).withoutReserved(reserved)
        }
        return demands
    }

    /** Returns the demand of [job] under the rules that the schedulers apply to it as well. */
    private fun demand(job: Job, tasks: Int, isUrgent: Boolean, hasSpotMachines: Boolean) = CapacityDemand(
        job.spec,
        tasks,
        isUrgent,
        context.scheduling.isStarved(job),
        job.excludedMachines(context.nowMs),
        mayHoldMachines = context.scheduling.waitedS(job) < JobOrder.START_OBJECTIVE_S,
        mayUseOnDemand = context.scheduling.mayUseOnDemand(job, hasSpotMachines),
        placedZones = TopologyConstraint.placedZones(job, context.view.machines),
    )

    /** Returns the machines with an active reservation, by the id of the gang. */
    private fun reservedMachines(): Map<String, List<Machine>> = context.view.reservedMachines
        .mapNotNull { context.view.machines[it] }
        .filter { context.view.activeReservation(it) != null }
        .groupBy { it.reservation?.job.orEmpty() }

    /**
     * Returns this demand without the tasks for which the [reserved] machines are. The reservations of a large gang take
     * several transactions; the machines that it still needs must not count as idle meanwhile.
     */
    private fun CapacityDemand.withoutReserved(reserved: List<Machine>): CapacityDemand {
        if (reserved.isEmpty()) return this
        val zones = reserved.flatMap { machine -> List(machine.reservation?.tasks ?: 0) { machine.zone } }
        return copy(
            tasks = tasks - zones.size,
            placedZones = if (spec.sameZone || spec.spreadAcrossZones) placedZones + zones else placedZones,
        )
    }

    /** Returns the jobs with pending tasks that may start now and that do not have all their machines reserved. */
    private fun waitingJobs(reservedMachines: Map<String, List<Machine>>): List<Job> = context.view.jobs.values.filter {
        it.pendingCount > reservedMachines[it.id].orEmpty().sumOf { machine -> machine.reservation?.tasks ?: 0 } &&
            !it.cancelled &&
            it.retryAtMs <= context.nowMs &&
            context.scheduling.gangSize.rejectionReason(it.spec) == null
    }

    /** Returns the expected task completions per second on spot machines, from the expected run times. */
    private fun spotCompletionsPerS(): Double = context.view.jobs.values
        .filter { !it.isGang && it.spec.preemptible }
        .sumOf { it.placedCount / maxOf(1.0, it.spec.expectedRuntimeS) }

    /** Returns the large gang that machines are reserved for; null if its team's quota keeps it from starting. */
    private fun reservedGang(waiting: List<Job>, usage: TeamUsage): Job? {
        val gangs = waiting.filter { it.isGang && it.placedCount == 0 }
        return LargeGangReservation.selectGang(gangs, LargeGangReservation.overdueBeforeMs(context.nowMs))?.takeIf {
            usage.remainingTasks(it.spec.team, it.spec.taskResources) >= it.spec.taskCount
        }
    }

    /**
     * Returns the number of task slots to provide for a job's pending tasks. It is lower than the number of tasks if
     * one slot runs several short tasks in turn.
     */
    private fun slotsToProvision(job: Job): Int {
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
     * Whether on-demand machines may be rented for a job that could use spot machines. They cost several times as much,
     * so the job must have waited long. The wait is shorter if there are no spot machines for it at all.
     */
    private fun isUrgent(job: Job, queueWaitS: Double): Boolean {
        if (context.zones?.isRestrictedToSpot(job) == true) return false
        val ageS = (context.nowMs - job.submittedMs) / MILLIS_PER_SECOND
        val objectives = context.settings.objectives.filter { it.jobClass == job.spec.jobClass }
        val startObjectivesS = objectives.filter { it.kind == START_OBJECTIVE_KIND }.map { it.withinS }
        if (OnDemandUrgency.isStartObjectiveAtRisk(ageS, provisioningS(job.spec), queueWaitS, startObjectivesS)) {
            return true
        }
        val hasSpotMachines = context.view.machines.values.any {
            it.preemptible && TopologyConstraint.allowsMachineKind(job.spec, it.machineType, it.zone, true)
        }
        if (objectives.isEmpty() && hasSpotMachines) {
            return OnDemandUrgency.isOverdueWithoutObjective(ageS, hasStarted = job.placedCount + job.doneCount > 0)
        }
        val withinS = objectives.maxOfOrNull { it.withinS } ?: context.settings.workers.cancelS
        return ageS > withinS * (if (hasSpotMachines) URGENT_AGE_FACTOR else URGENT_AGE_FACTOR_WITHOUT_SPOT)
    }

    /** Returns how long a job like [spec] waits for a new machine: boot and image fetch on the cheapest type. */
    private fun provisioningS(spec: JobSpec): Double {
        val machineType = allowedMachineTypes(spec).minByOrNull { it.onDemandPricePerHour } ?: return 0.0
        return machineType.bootTimeS + spec.imageGb / machineType.fetchGbPerS
    }

    private fun allowedMachineTypes(spec: JobSpec): List<MachineType> =
        context.view.machineTypes.values.filter { JobAdmission.allowed(spec, it) }

    private companion object {
        /** The kind of a service-level objective for the time until a job starts, as named in the settings. */
        const val START_OBJECTIVE_KIND = "wait"

        /** A job is urgent once it is older than its longest objective times this factor. */
        const val URGENT_AGE_FACTOR = 2.0

        /** The factor for a job without suitable spot machines. */
        const val URGENT_AGE_FACTOR_WITHOUT_SPOT = 0.2
    }
}
