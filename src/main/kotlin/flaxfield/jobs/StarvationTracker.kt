package flaxfield.jobs

import flaxfield.MILLIS_PER_SECOND

/**
 * Since when jobs have waited with no task of theirs on any machine. Outside of failures none may wait for [MAX_WAIT_S]
 * while a machine that fits has free resources and its team is under its limit: reservations of machines and of a
 * team's limit give way to a job that has waited for most of that.
 *
 * A placement ends the wait only when it has stood for a while: one may be taken back before its task has begun, if
 * its machine is to be returned.
 */
class StarvationTracker {
    private val waitingSinceMs = HashMap<String, Long>()
    private val placedSinceMs = HashMap<String, Long>()

    /** Takes note of the jobs in the view at [nowMs]. */
    fun update(jobs: Collection<Job>, nowMs: Long) {
        val unfinished = jobs.filter { !it.cancelled && !it.complete }
        val ids = unfinished.mapTo(HashSet()) { it.id }
        waitingSinceMs.keys.retainAll(ids)
        placedSinceMs.keys.retainAll(ids)
        for (job in unfinished) {
            if (job.placedCount == 0) updatePending(job.id, nowMs) else updatePlaced(job.id, nowMs)
        }
    }

    private fun updatePending(id: String, nowMs: Long) {
        placedSinceMs.remove(id)
        waitingSinceMs.putIfAbsent(id, nowMs)
    }

    private fun updatePlaced(id: String, nowMs: Long) {
        val sinceMs = placedSinceMs.getOrPut(id) { nowMs }
        if (nowMs - sinceMs > MAX_WAIT_S * PLACED_SHARE * MILLIS_PER_SECOND) waitingSinceMs.remove(id)
    }

    /** Whether [job] has waited so long that no reservation counts against it; never if it seems to be a mistake. */
    fun isStarved(job: Job, nowMs: Long): Boolean {
        if (job.isCrashLooping || job.placedCount > 0) return false
        val sinceMs = waitingSinceMs[job.id] ?: return false
        return nowMs - sinceMs > MAX_WAIT_S * STARVED_SHARE * MILLIS_PER_SECOND
    }

    private companion object {
        /** The operators' figure, whatever the deployment. */
        const val MAX_WAIT_S = 90.0

        /** The rest of the wait is for the boot of a machine, or for one more scheduling cycle. */
        const val STARVED_SHARE = 0.6

        /** A placement that stands for so long has begun, or is about to. */
        const val PLACED_SHARE = 0.15
    }
}
