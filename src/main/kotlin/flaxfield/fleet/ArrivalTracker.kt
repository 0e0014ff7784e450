package flaxfield.fleet

import flaxfield.MILLIS_PER_SECOND
import flaxfield.jobs.Job
import flaxfield.store.ClusterView

/**
 * How fast tasks of each job class arrive, measured over a sliding window from the jobs in [view]. Every controller
 * keeps one, so that a new leader knows the rates at once. Owned by the owner thread.
 */
class ArrivalTracker(private val view: ClusterView) {
    private val recentByClass = HashMap<String, ArrayDeque<Job>>()
    private val countedJobs = HashSet<String>()

    /** Records the jobs that have arrived in the view by [nowMs]. */
    fun record(nowMs: Long) {
        val windowStartMs = nowMs - RATE_WINDOW_S * MILLIS_PER_SECOND
        for (job in view.jobs.values) {
            if (job.submittedMs < windowStartMs || !countedJobs.add(job.id)) continue
            val recent = recentByClass.getOrPut(job.spec.jobClass) { ArrayDeque() }
            recent.addLast(job)
            if (recent.size > MAX_RECENT_JOBS) recent.removeFirst()
        }
        if (countedJobs.size > MAX_COUNTED_JOBS) countedJobs.retainAll(view.jobs.keys)
    }

    /** The rates at [nowMs] of all classes with an arrival in the window. */
    fun rates(nowMs: Long): List<ArrivalRate> {
        val windowStartMs = nowMs - (RATE_WINDOW_S * MILLIS_PER_SECOND).toLong()
        return recentByClass.values.mapNotNull { recent ->
            while (recent.isNotEmpty() && recent.first().submittedMs < windowStartMs) recent.removeFirst()
            recent.lastOrNull()?.let { latest ->
                ArrivalRate(latest.spec, recent.sumOf { it.spec.taskCount } / RATE_WINDOW_S)
            }
        }
    }

    private companion object {
        const val RATE_WINDOW_S = 120.0

        /** Jobs remembered for each class. */
        const val MAX_RECENT_JOBS = 200

        /** Above this number of ids, those of finished jobs are dropped. */
        const val MAX_COUNTED_JOBS = 10_000
    }
}
