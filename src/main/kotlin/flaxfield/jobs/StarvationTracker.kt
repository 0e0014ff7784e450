package flaxfield.jobs

import flaxfield.MILLIS_PER_SECOND

/**
 * Since when jobs have waited with nothing of theirs on any machine. Once troubles are over, none may wait for
 * [MAX_S] while a machine that fits has room and its team is under its limit: what keeps machines or a part of a limit
 * for others gives way to a job that has waited for most of that.
 *
 * A placement ends the wait only when it has stood for a while: one that was taken back before its task began, since
 * its machine was to be returned, made a job wait from the beginning.
 */
class StarvationTracker {
    private val waitingSinceMs = HashMap<String, Long>()
    private val placedSinceMs = HashMap<String, Long>()

    /** Notes the jobs in the view. */
    fun note(jobs: Collection<Job>, nowMs: Long) {
        val unfinished = jobs.filter { !it.cancelled && !it.complete }
        val ids = unfinished.mapTo(HashSet()) { it.id }
        waitingSinceMs.keys.retainAll(ids)
        placedSinceMs.keys.retainAll(ids)
        for (job in unfinished) {
            if (job.placedCount == 0) notePending(job.id, nowMs) else notePlaced(job.id, nowMs)
        }
    }

    private fun notePending(id: String, nowMs: Long) {
        placedSinceMs.remove(id)
        waitingSinceMs.putIfAbsent(id, nowMs)
    }

    private fun notePlaced(id: String, nowMs: Long) {
        val since = placedSinceMs.getOrPut(id) { nowMs }
        if (nowMs - since > MAX_S * STANDS_SHARE * MILLIS_PER_SECOND) waitingSinceMs.remove(id)
    }

    /**
     * Whether [job] has waited so long that nothing is kept from it any more. What seems to be a mistake has no such
     * claim.
     */
    fun long(job: Job, nowMs: Long): Boolean {
        if (job.isSuspect || job.placedCount > 0) return false
        val since = waitingSinceMs[job.id] ?: return false
        return nowMs - since > MAX_S * LONG_SHARE * MILLIS_PER_SECOND
    }

    private companion object {
        /** The operators' figure, whatever the deployment. */
        const val MAX_S = 90.0

        /** The rest is for a boot, or for one more turn. */
        const val LONG_SHARE = 0.6

        /** A placement that stands for so long has begun, or is about to. */
        const val STANDS_SHARE = 0.15
    }
}
