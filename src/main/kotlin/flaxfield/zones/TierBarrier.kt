package flaxfield.zones

import flaxfield.jobs.Job

/**
 * Keeps the order between tiers where a job is passed over for a moment: its last placement is still being written, or
 * another part goes first with it. Without the gate, a less urgent task took the one place that had come free.
 */
class TierGate(underWay: Collection<Job>, private val tier: (Job) -> Int) {
    private var mostUrgent: Int? = underWay.minOfOrNull(tier)

    /** [job] waits a moment, and those of less urgent tiers with it. */
    fun passOver(job: Job) {
        mostUrgent = minOf(mostUrgent ?: Int.MAX_VALUE, tier(job))
    }

    /** Whether [job] may be placed now. */
    fun admits(job: Job): Boolean = tier(job) <= (mostUrgent ?: Int.MAX_VALUE)
}
