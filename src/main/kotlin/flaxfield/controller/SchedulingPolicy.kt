package flaxfield.controller

import flaxfield.NANOS_PER_SECOND
import flaxfield.arrays.GangCapacityReservation
import flaxfield.jobs.Job
import flaxfield.jobs.StarvationTracker
import flaxfield.quota.JobOrder
import flaxfield.quota.TeamUsage
import flaxfield.settings.Settings
import flaxfield.store.ClusterView
import flaxfield.zones.ZoneRecovery

/** Quotas, the order in which waiting jobs are served, and what is reserved for gangs: the same for all schedulers. */
class SchedulingPolicy(
    private val settings: Settings,
    private val view: ClusterView,
    private val clock: Clock,
    /** What is known of lost zones now; null where they are not watched. */
    private val zones: () -> ZoneRecovery?,
) {
    /** Machine types whose on-demand kind is left to jobs that can use no other. */
    val reservations = GangCapacityReservation()

    private val starvation = StarvationTracker()
    private var refreshedAtVersion = -1L
    private var refreshAfterNs = 0L
    private val classesWithObjective = settings.objectives.mapTo(HashSet()) { it.jobClass }

    /**
     * Brings [reservations] and the starvation times up to date with the view, at most once a heartbeat interval while
     * no job changes.
     */
    fun refresh() {
        val nowNs = clock.monotonicNs()
        if (refreshedAtVersion == view.jobsVersion && nowNs < refreshAfterNs) return
        refreshedAtVersion = view.jobsVersion
        refreshAfterNs = nowNs + (settings.workers.heartbeatIntervalS * NANOS_PER_SECOND).toLong()
        reservations.update(view.jobs.values, view.machineTypes.values, clock.wallClockMs(), RESERVED_MS)
        starvation.update(view.jobs.values, clock.wallClockMs())
    }

    /** Whether a job has waited so long that nothing is reserved against it any more. */
    fun isStarved(job: Job): Boolean = starvation.isStarved(job, clock.wallClockMs())

    /**
     * How many more tasks of [job] its team's limit admits beside [usage]. Arrays leave a part of it to the team's
     * gangs; a starved array leaves it only to waiting gangs that came before it, and never more than all but one task:
     * with that it is no longer starved, so that gangs lose one place for each such array at most.
     */
    fun admissibleTasks(job: Job, usage: TeamUsage): Int {
        val team = job.spec.team
        val request = job.spec.taskResources
        if (job.isGang) return usage.remainingTasks(team, request)
        if (!isStarved(job)) return usage.remainingTasks(team, request, reservations.reservedQuota(team))
        val besideGangs = usage.remainingTasks(team, request, reservations.waitingGangQuota(team, job.submittedMs))
        return maxOf(besideGangs, minOf(1, usage.remainingTasks(team, request)))
    }

    /** What the teams use now; the caller may add to its copy. */
    fun teamUsage(): TeamUsage = view.usage(settings.teams)

    /** The ids of the jobs within their team's guarantee now. */
    fun guaranteed(): Set<String> = view.guaranteed(settings.teams)

    /** [jobs] in the order in which they are served now, beside [usage]. */
    fun schedulingOrder(jobs: Collection<Job>, usage: TeamUsage): List<Job> {
        val overdueBeforeMs = JobOrder.overdueBeforeMs(clock.wallClockMs())
        val recovery = zones()?.takeIf { it.isRecovering }
        return recovery?.sort(jobs, usage, overdueBeforeMs)
            ?: JobOrder.sort(jobs, guaranteed(), usage, overdueBeforeMs, ::hasObjective)
    }

    /** Whether the settings state a service-level objective for jobs of this class. */
    fun hasObjective(jobClass: String): Boolean = jobClass in classesWithObjective

    private companion object {
        /** As long as the capacity planner looks back on arrivals. */
        const val RESERVED_MS = 180_000L
    }
}
