package flaxfield.zones

import flaxfield.jobs.Job

/**
 * Keeps jobs of less urgent tiers from overtaking a job that cannot be placed yet. Such a job has a placement that is
 * still being written ([inFlight]), or another shard places it first. Valid for one scheduling round.
 */
class TierBarrier(inFlight: Collection<Job>, private val tier: (Job) -> Int) {
    private var mostUrgentWaiting: Int? = inFlight.minOfOrNull(tier)

    /** Records that [job] has to wait in this round, so that less urgent tiers wait as well. */
    fun holdBack(job: Job) {
        mostUrgentWaiting = minOf(mostUrgentWaiting ?: Int.MAX_VALUE, tier(job))
    }

    /** Whether [job] may be placed in this round. */
    fun admits(job: Job): Boolean = tier(job) <= (mostUrgentWaiting ?: Int.MAX_VALUE)
}
