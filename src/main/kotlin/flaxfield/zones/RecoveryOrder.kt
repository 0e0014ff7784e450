package flaxfield.zones

import flaxfield.jobs.Job
import flaxfield.quota.TeamUsage
import java.util.PriorityQueue

/**
 * Sorts jobs by their priority while a zone is lost or returning. The same order applies to the release of the zone's
 * machines, to the commits of task events, to the rental of machines and to placement. Pure functions.
 */
object RecoveryOrder {
    private data class Rank(
        val isDeprioritized: Boolean,
        val isOverdue: Boolean,
        val tier: Int,
        val isWithinGuarantee: Boolean,
    )

    private val RANK_ORDER =
        compareBy<Rank>({ it.isDeprioritized }, { !it.isOverdue }, { it.tier }, { !it.isWithinGuarantee })

    /** The waiting jobs of one team in order, and the team's dominant share including its jobs sorted so far. */
    private class TeamQueue(val share: Double, val team: String, val jobs: ArrayDeque<Job>)

    /**
     * Returns [jobs] sorted by these criteria, from the most to the least significant:
     * - Deprioritized jobs, see [Job.isDeprioritized], come last.
     * - Overdue jobs come first, so that no tier starves another. They were submitted before [overdueBeforeMs], and
     *   none of their tasks is placed or done.
     * - Jobs of a lower [tier] come first; tier 0 is the most urgent.
     * - Jobs whose ids are in [guaranteed], as they fit their team's quota guarantee, come first.
     * - The team with the smallest dominant share of its guarantee comes next. Jobs that are already sorted count
     *   towards the share: this is progressive filling, a discrete form of weighted max-min fairness, see `FairShares`.
     * - Older jobs come first. A job that was placed before the loss at [lossMs] is as old as the loss, since its tasks
     *   were running until then. By its submission time, displaced work would precede all younger jobs; by the current
     *   time, it would follow them.
     */
    fun sort(
        jobs: Collection<Job>,
        guaranteed: Set<String>,
        usage: TeamUsage,
        overdueBeforeMs: Long,
        lossMs: Long,
        tier: (Job) -> Int,
    ): List<Job> {
        val projectedUsage = usage.copy()
        val byAge = compareBy<Job>({ if (it.wasPlaced) maxOf(it.submittedMs, lossMs) else it.submittedMs }, { it.id })
        val groups = jobs.groupBy { rank(it, guaranteed, overdueBeforeMs, tier) }.toSortedMap(RANK_ORDER)
        return groups.values.flatMap { interleaveTeams(it, projectedUsage, byAge) }
    }

    private fun rank(job: Job, guaranteed: Set<String>, overdueBeforeMs: Long, tier: (Job) -> Int) = Rank(
        job.isDeprioritized(overdueBeforeMs),
        job.submittedMs < overdueBeforeMs && job.placedCount == 0 && job.doneCount == 0,
        tier(job),
        job.id in guaranteed,
    )

    private fun interleaveTeams(jobs: List<Job>, usage: TeamUsage, byAge: Comparator<Job>): List<Job> {
        val queues = PriorityQueue(compareBy<TeamQueue> { it.share }.thenBy(byAge) { it.jobs.first() })
        for ((team, teamJobs) in jobs.groupBy { it.spec.team }) {
            queues += TeamQueue(usage.dominantShare(team), team, ArrayDeque(teamJobs.sortedWith(byAge)))
        }
        val result = ArrayList<Job>(jobs.size)
        while (queues.isNotEmpty()) {
            val queue = queues.remove()
            val job = queue.jobs.removeFirst()
            result += job
            usage.add(queue.team, job.spec.taskResources * job.pendingCount)
            if (queue.jobs.isNotEmpty()) queues += TeamQueue(usage.dominantShare(queue.team), queue.team, queue.jobs)
        }
        return result
    }
}
