package flaxfield.quota

import flaxfield.MILLIS_PER_SECOND
import flaxfield.jobs.Job
import flaxfield.jobs.Resources
import flaxfield.settings.Team

/** Pure: in which order waiting jobs are served, which of them are guaranteed, and whom they may preempt. */
object JobOrder {
    /** The service-level objective for the start of each class's largest jobs, in seconds. */
    const val START_OBJECTIVE_S = 240.0

    /** A job that has waited this fraction of the objective without any task started precedes all others. */
    private const val OVERDUE_FRACTION = 0.5

    /** Jobs submitted before this and not started are overdue. */
    fun overdueBeforeMs(nowMs: Long): Long = nowMs - (START_OBJECTIVE_S * OVERDUE_FRACTION * MILLIS_PER_SECOND).toLong()

    /** The ids of the jobs that fit into their team's guarantee together with its earlier unfinished ones. */
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
     * Guarantee first, then priority, then classes with a service-level objective ([hasObjective]), then the team that
     * uses the least share of its guarantee, then age. Before all of these come jobs submitted before
     * [overdueBeforeMs] that have not started, so that no order starves a job for ever. After all of them come jobs
     * that repeatedly fail, see [Job.isDeprioritized].
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
        }.sortedWith(SERVICE_ORDER).map { it.job }
    }

    /** What a job's place depends on, worked out once and not at each comparison. */
    private class SortKey(
        val job: Job,
        val isDeprioritized: Boolean,
        val isOverdue: Boolean,
        val isGuaranteed: Boolean,
        val hasObjective: Boolean,
        val teamShare: Double,
    )

    private val SERVICE_ORDER = Comparator<SortKey> { a, b ->
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
     * team's guarantee against a team that exceeds its own. A job that repeatedly fails preempts nobody.
     */
    fun mayPreempt(job: Job, jobGuaranteed: Boolean, other: Job, usage: TeamUsage): Boolean {
        if (job.isCrashLooping) return false
        if (job.spec.priority > other.spec.priority) return true
        return jobGuaranteed && other.spec.team != job.spec.team && usage.exceedsGuarantee(other.spec.team)
    }
}
