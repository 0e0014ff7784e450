package flaxfield.zones

import flaxfield.jobs.Job
import flaxfield.quota.TeamUsage
import java.util.PriorityQueue

/**
 * Pure: the order in which jobs are served while a zone is lost or returning. The same order decides which of its
 * machines are released first, which task events are committed first, for which jobs machines are rented, and which are
 * placed.
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

    /**
     * The waiting jobs of one team in their order, and the team's dominant share with what it has been given so far.
     */
    private class TeamQueue(val share: Double, val team: String, val jobs: ArrayDeque<Job>)

    /**
     * Sorts by these criteria, one after another:
     * - jobs that seem to be mistakes come last;
     * - jobs submitted before [overdueBeforeMs] of which no task has begun come first, so that no tier starves another;
     * - the [tier], 0 being the most urgent;
     * - jobs whose ids are in [guaranteed] come first, as they lie within their team's quota guarantee;
     * - the team with the smallest dominant share of its guarantee is next, where each job in this order counts: this
     *   is progressive filling, the discrete form of weighted max-min fairness, see [FairShares];
     * - the age. A job that had begun before the loss at [lossMs] counts from then, since its tasks were running: with
     *   its whole age, displaced work would go before everything younger, and with the present as its age, after it.
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
