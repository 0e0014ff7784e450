package flaxfield.zones

import flaxfield.jobs.Job
import flaxfield.quota.TeamUsage
import java.util.PriorityQueue

/**
 * Pure: the order in which work is served while a zone is lost or returning. The same order decides which machines of
 * the zone are given up first, whose proofs are committed, for whom machines are rented, and who is placed.
 */
object RecoveryOrder {
    private data class Rank(val last: Boolean, val late: Boolean, val tier: Int, val within: Boolean)

    private val RANKS = compareBy<Rank>({ it.last }, { !it.late }, { it.tier }, { !it.within })

    /**
     * Jobs that have waited since before [overdueBeforeMs] without a task begun come first, so that no tier starves
     * another for good; those that seem to be mistakes come last. Between them the [tier] decides (0 is the most
     * urgent), then whether the job lies within its team's guarantee, then the teams' shares, then for how long it has
     * waited: a job that had begun before the loss at [lossMs] waits since then, for its tasks were running; behind it,
     * everything younger would wait for what was displaced, and before it, what is displaced would wait for all that
     * comes.
     *
     * Teams take turns: the next job is of the team whose share of its guarantee is the smallest, with what it has been
     * given in this order counted. This is progressive filling, the discrete form of weighted max-min fairness, see
     * [FairShares].
     */
    fun sort(
        jobs: Collection<Job>,
        guaranteed: Set<String>,
        use: TeamUsage,
        overdueBeforeMs: Long,
        lossMs: Long,
        tier: (Job) -> Int,
    ): List<Job> {
        val given = use.copy()
        val age = compareBy<Job>({ if (it.hasBegun) maxOf(it.submittedMs, lossMs) else it.submittedMs }, { it.id })
        val groups = jobs.groupBy { rank(it, guaranteed, overdueBeforeMs, tier) }.toSortedMap(RANKS)
        return groups.values.flatMap { inTurns(it, given, age) }
    }

    private fun rank(job: Job, guaranteed: Set<String>, overdueBeforeMs: Long, tier: (Job) -> Int) = Rank(
        job.isDeprioritized(overdueBeforeMs),
        job.submittedMs < overdueBeforeMs && job.placedCount == 0 && job.doneCount == 0,
        tier(job),
        job.id in guaranteed,
    )

    private class Turn(val share: Double, val team: String, val jobs: ArrayDeque<Job>)

    private fun inTurns(jobs: List<Job>, given: TeamUsage, age: Comparator<Job>): List<Job> {
        val turns = PriorityQueue(compareBy<Turn> { it.share }.thenBy(age) { it.jobs.first() })
        for ((team, list) in jobs.groupBy { it.spec.team }) {
            turns += Turn(given.dominantShare(team), team, ArrayDeque(list.sortedWith(age)))
        }
        val result = ArrayList<Job>(jobs.size)
        while (turns.isNotEmpty()) {
            val turn = turns.remove()
            val job = turn.jobs.removeFirst()
            result += job
            given.add(turn.team, job.spec.taskResources * job.pendingCount)
            if (turn.jobs.isNotEmpty()) turns += Turn(given.dominantShare(turn.team), turn.team, turn.jobs)
        }
        return result
    }
}
