package flaxfield.jobs

import flaxfield.MILLIS_PER_SECOND

/**
 * Tracks how long jobs have had no task on any machine. Except during failures, no job may wait for [MAX_WAIT_S] while
 * a machine that fits has free resources and the job's team is below its limit. Reservations of machines and of a
 * team's limit therefore yield to a job that has waited for most of that time.
 *
 * A placement ends the wait only after it has lasted for a while. It may be withdrawn before its task has started, if
 * its machine is to be returned.
 */
class StarvationTracker {
    private val waitingSinceMs = HashMap<String, Long>()
    private val placedSinceMs = HashMap<String, Long>()

    /** Updates the waiting times from the jobs in the view at [nowMs]. */
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
        if (nowMs - sinceMs > MAX_WAIT_S * STABLE_PLACEMENT_SHARE * MILLIS_PER_SECOND) waitingSinceMs.remove(id)
    }

    /** Whether [job] has waited so long that it overrides all reservations; never if it crash-loops. */
    fun isStarved(job: Job, nowMs: Long): Boolean {
        if (job.isCrashLooping || job.placedCount > 0) return false
        return waitedS(job, nowMs) > MAX_WAIT_S * STARVED_SHARE
    }

    /** Returns for how many seconds [job] has waited at [nowMs]; 0 if it is not known to wait. */
    fun waitedS(job: Job, nowMs: Long): Double = waitingSinceMs[job.id]?.let { (nowMs - it) / MILLIS_PER_SECOND } ?: 0.0

    private companion object {
        /** Required by the operators for every deployment. */
        const val MAX_WAIT_S = 90.0

        /** A job is starved after this share of [MAX_WAIT_S]; the rest is for a machine's boot or one more cycle. */
        const val STARVED_SHARE = 0.6

        /** A placement ends the wait after this share of [MAX_WAIT_S]: its task then runs or is about to start. */
        const val STABLE_PLACEMENT_SHARE = 0.15
    }
}
