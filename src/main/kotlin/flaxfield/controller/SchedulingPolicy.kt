package flaxfield.controller

import flaxfield.MILLIS_PER_SECOND
import flaxfield.NANOS_PER_SECOND
import flaxfield.arrays.GangCapacityReservation
import flaxfield.fleet.OnDemandUrgency
import flaxfield.jobs.GangTransactionSize
import flaxfield.jobs.Job
import flaxfield.jobs.StarvationTracker
import flaxfield.quota.JobOrder
import flaxfield.quota.TeamUsage
import flaxfield.settings.Settings
import flaxfield.store.ClusterView
import flaxfield.zones.ZoneRecovery

/** The rules that all schedulers share: team quotas, the order of waiting jobs and reservations for gangs. */
class SchedulingPolicy(
    private val settings: Settings,
    private val view: ClusterView,
    private val clock: Clock,
    /** Returns the tracker of lost zones; null if zones are not monitored. */
    private val zones: () -> ZoneRecovery?,
) {
    /**
     * On-demand capacity that arrays leave to jobs that cannot use spot machines, and quota that they leave to gangs.
     */
    val reservations = GangCapacityReservation()

    /** Decides which gangs are too large to start. */
    val gangSize = GangTransactionSize(settings.stateLimits)

    private val starvation = StarvationTracker()
    private var refreshedAtVersion = -1L
    private var refreshAfterNs = 0L
    private val classesWithObjective = settings.objectives.mapTo(HashSet()) { it.jobClass }

    /**
     * Updates [reservations] and the starvation times from the view; at most once per heartbeat interval while no job
     * changes.
     */
    fun refresh() {
        val nowNs = clock.monotonicNs()
        if (refreshedAtVersion == view.jobsVersion && nowNs < refreshAfterNs) return
        refreshedAtVersion = view.jobsVersion
        refreshAfterNs = nowNs + (settings.workers.heartbeatIntervalS * NANOS_PER_SECOND).toLong()
        reservations.update(view.jobs.values, view.machineTypes.values, clock.wallClockMs(), RESERVATION_MS)
        starvation.update(view.jobs.values, clock.wallClockMs())
    }

    /** Whether [job] has waited so long that reservations no longer apply to it. */
    fun isStarved(job: Job): Boolean = starvation.isStarved(job, clock.wallClockMs())

    /** Returns for how many seconds [job] has had no task on any machine, as far as this process has seen. */
    fun waitedS(job: Job): Double = starvation.waitedS(job, clock.wallClockMs())

    /**
     * Returns how many more tasks of [job] its team's limit admits on top of [usage]. Arrays leave a part of the limit
     * to the team's gangs. A starved array leaves it only to waiting gangs that were submitted before it, and may
     * always place one task if the limit admits it. With that task it is no longer starved, so each such array costs
     * the gangs at most one task slot.
     */
    fun admissibleTasks(job: Job, usage: TeamUsage): Int {
        val team = job.spec.team
        val request = job.spec.taskResources
        if (job.isGang) return usage.remainingTasks(team, request)
        if (!isStarved(job)) return usage.remainingTasks(team, request, reservations.reservedQuota(team))
        val besideGangs = usage.remainingTasks(team, request, reservations.waitingGangQuota(team, job.submittedMs))
        return maxOf(besideGangs, minOf(1, usage.remainingTasks(team, request)))
    }

    /** Returns a copy of the teams' current usage, which the caller may modify. */
    fun teamUsage(): TeamUsage = view.usage(settings.teams)

    /** Returns the ids of the jobs that are within their team's guarantee now. */
    fun guaranteed(): Set<String> = view.guaranteed(settings.teams)

    /** Returns [jobs] in their current scheduling order, given [usage]. */
    fun schedulingOrder(jobs: Collection<Job>, usage: TeamUsage): List<Job> {
        val overdueBeforeMs = JobOrder.overdueBeforeMs(clock.wallClockMs())
        val recovery = zones()?.takeIf { it.isRecovering }
        return recovery?.sort(jobs, usage, overdueBeforeMs)
            ?: JobOrder.sort(jobs, guaranteed(), usage, overdueBeforeMs, ::hasObjective)
    }

    /**
     * Whether [job] may use existing on-demand machines. A job that may run on spot machines may not if there are any,
     * unless its class has an objective or it has waited for long. Without this rule, classes without an objective keep
     * on-demand machines in use that were scaled out for a burst.
     */
    fun mayUseOnDemand(job: Job, hasSpotMachines: Boolean): Boolean = !job.spec.preemptible ||
        !hasSpotMachines ||
        hasObjective(job.spec.jobClass) ||
        isStarved(job) ||
        OnDemandUrgency.isOverdueWithoutObjective(
            (clock.wallClockMs() - job.submittedMs) / MILLIS_PER_SECOND,
            hasStarted = job.placedCount + job.doneCount > 0,
        )

    /** Whether the settings define a service-level objective for [jobClass]. */
    fun hasObjective(jobClass: String): Boolean = jobClass in classesWithObjective

    private companion object {
        /** How long a reservation lasts; equals the period of arrivals that the capacity planner considers. */
        const val RESERVATION_MS = 180_000L
    }
}
