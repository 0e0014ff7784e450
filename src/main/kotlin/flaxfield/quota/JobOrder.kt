package flaxfield.quota

import flaxfield.MILLIS_PER_SECOND
import flaxfield.jobs.Job
import flaxfield.jobs.Resources
import flaxfield.settings.Team

/**
 * Decides the scheduling order of waiting jobs, which of them are guaranteed, and which may preempt. Pure functions.
 */
object JobOrder {
    /** The service-level objective for the time until the largest jobs of each class start, in seconds. */
    const val START_OBJECTIVE_S = 240.0

    /** A job without any started task precedes all others once it has waited this fraction of the objective. */
    private const val OVERDUE_FRACTION = 0.5

    /** Returns the submission time, in wall-clock milliseconds, before which jobs that have not started are overdue. */
    fun overdueBeforeMs(nowMs: Long): Long = nowMs - (START_OBJECTIVE_S * OVERDUE_FRACTION * MILLIS_PER_SECOND).toLong()

    /** Returns the ids of the jobs that fit into their team's guarantee together with its earlier unfinished jobs. */
    fun guaranteed(jobs: Collection<Job>, teams: Map<String, Team>): Set<String> {
        val result = HashSet<String>()
        for ((teamName, teamJobs) in jobs.filter { !it.cancelled }.groupBy { it.spec.team }) {
            val team = teams[teamName] ?: continue
            if (team.cpus <= 0.0 && team.gpus <= 0.0) continue
            var requested = Resources.NONE
            for (job in teamJobs.sortedWith(compareBy({ it.submittedMs }, { it.id }))) {
                requested += job.spec.taskResources * (job.spec.taskCount - job.doneCount)
                if (fitsGuarantee(requested, team)) result += job.id
            }
        }
        return result
    }

    private fun fitsGuarantee(requested: Resources, team: Team): Boolean =
        (team.cpus <= 0.0 || requested.cpus <= team.cpus + QUOTA_EPSILON) &&
            (team.gpus <= 0.0 || requested.gpus <= team.gpus + QUOTA_EPSILON)

    /**
     * Returns [jobs] in scheduling order: guaranteed jobs first, then by priority, then classes with a service-level
     * objective ([hasObjective]), then teams that use the smallest share of their guarantee, then the oldest jobs. Jobs
     * submitted before [overdueBeforeMs] that have not started precede all others, so that none starves. Jobs that
     * repeatedly fail come last, see [Job.isDeprioritized].
     */
    fun sort(
        jobs: Collection<Job>,
        guaranteed: Set<String>,
        usage: TeamUsage,
        overdueBeforeMs: Long = 0,
        hasObjective: (String) -> Boolean = { true },
    ): List<Job> {
        val shares = HashMap<String, Double>()
        return jobs.map { job ->
            SortKey(
                job,
                isDeprioritized = job.isDeprioritized(overdueBeforeMs),
                isOverdue = job.submittedMs < overdueBeforeMs && job.placedCount == 0 && job.doneCount == 0,
                isGuaranteed = job.id in guaranteed,
                hasObjective = hasObjective(job.spec.jobClass),
                teamShare = shares.getOrPut(job.spec.team) { usage.guaranteeShare(job.spec.team) },
            )
        }.sortedWith(SCHEDULING_ORDER).map { it.job }
    }

    /** The sort key of a job, computed once rather than at each comparison. */
    private class SortKey(
        val job: Job,
        val isDeprioritized: Boolean,
        val isOverdue: Boolean,
        val isGuaranteed: Boolean,
        val hasObjective: Boolean,
        val teamShare: Double,
    )

    private val SCHEDULING_ORDER = Comparator<SortKey> { a, b ->
        when {
            a.isDeprioritized != b.isDeprioritized -> if (a.isDeprioritized) 1 else -1
            a.isOverdue != b.isOverdue -> if (a.isOverdue) -1 else 1
            a.isGuaranteed != b.isGuaranteed -> if (a.isGuaranteed) -1 else 1
            a.job.spec.priority != b.job.spec.priority -> b.job.spec.priority.compareTo(a.job.spec.priority)
            a.hasObjective != b.hasObjective -> if (a.hasObjective) -1 else 1
            a.teamShare != b.teamShare -> a.teamShare.compareTo(b.teamShare)
            a.job.submittedMs != b.job.submittedMs -> a.job.submittedMs.compareTo(b.job.submittedMs)
            else -> a.job.id.compareTo(b.job.id)
        }
    }

    /**
     * Whether [job] may preempt a task of [other] ("Preemption" in PROTOCOL-flaxfield.md): by priority, or within its
     * team's guarantee against a team that exceeds its own. A job that repeatedly fails may not preempt.
     */
    fun mayPreempt(job: Job, jobGuaranteed: Boolean, other: Job, usage: TeamUsage): Boolean {
        if (job.isCrashLooping) return false
        if (job.spec.priority > other.spec.priority) return true
        return jobGuaranteed && other.spec.team != job.spec.team && usage.exceedsGuarantee(other.spec.team)
    }
}
