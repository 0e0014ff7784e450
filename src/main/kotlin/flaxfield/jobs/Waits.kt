package flaxfield.jobs

/**
 * Since when jobs have waited with nothing of theirs on any machine. Once troubles are over, none may wait for
 * [MOST_S] while a machine that fits has room and its team is under its limit: what keeps machines or a part of a limit
 * for others gives way to a job that has waited for most of that.
 */
class Waits {
    private val sinceMs = HashMap<String, Long>()

    /** Notes the jobs in the view. */
    fun note(jobs: Collection<Job>, nowMs: Long) {
        val waiting = jobs.filter { !it.cancelled && it.placedCount == 0 && it.pendingCount > 0 }
        sinceMs.keys.retainAll(waiting.mapTo(HashSet()) { it.id })
        for (j in waiting) sinceMs.putIfAbsent(j.id, nowMs)
    }

    /** Whether [job] has waited so long that nothing is kept from it any more. What seems to be a mistake has no such claim. */
    fun long(job: Job, nowMs: Long): Boolean = !job.suspect && sinceMs[job.id]?.let { nowMs - it > MOST_S * LONG_SHARE * MS } ?: false

    private companion object {
        /** The operators' figure, whatever the deployment. */
        const val MOST_S = 90.0

        /** The rest is for a boot, or for one more turn. */
        const val LONG_SHARE = 0.6
        const val MS = 1000.0
    }
}
