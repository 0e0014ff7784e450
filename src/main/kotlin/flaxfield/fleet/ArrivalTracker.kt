package flaxfield.fleet

import flaxfield.MILLIS_PER_SECOND
import flaxfield.jobs.Job
import flaxfield.store.ClusterView

/**
 * Measures the arrival rate of the tasks of each job class over a sliding window of the jobs in [view]. Every
 * controller runs one, so that a new leader has the rates at once. Confined to the owner thread.
 */
class ArrivalTracker(private val view: ClusterView) {
    private val recentJobsByClass = HashMap<String, ArrayDeque<Job>>()
    private val recordedJobs = HashSet<String>()

    /** Records the jobs in the view that were submitted within the window before [nowMs], each one once. */
    fun record(nowMs: Long) {
        val windowStartMs = nowMs - RATE_WINDOW_S * MILLIS_PER_SECOND
        for (job in view.jobs.values) {
            if (job.submittedMs < windowStartMs || !recordedJobs.add(job.id)) continue
            val recent = recentJobsByClass.getOrPut(job.spec.jobClass) { ArrayDeque() }
            recent.addLast(job)
            if (recent.size > MAX_RECENT_JOBS) recent.removeFirst()
        }
        if (recordedJobs.size > MAX_RECORDED_JOBS) recordedJobs.retainAll(view.jobs.keys)
    }

    /** Returns the rates at [nowMs] of all job classes with an arrival in the window. */
    fun rates(nowMs: Long): List<ArrivalRate> {
        val windowStartMs = nowMs - (RATE_WINDOW_S * MILLIS_PER_SECOND).toLong()
        return recentJobsByClass.values.mapNotNull { recent ->
            while (recent.isNotEmpty() && recent.first().submittedMs < windowStartMs) recent.removeFirst()
            recent.lastOrNull()?.let { latest ->
                ArrivalRate(latest.spec, recent.sumOf { it.spec.taskCount } / RATE_WINDOW_S)
            }
        }
    }

    private companion object {
        const val RATE_WINDOW_S = 120.0

        /** The maximum number of recent jobs kept per job class. */
        const val MAX_RECENT_JOBS = 200

        /** Above this number of recorded ids, those of jobs that have left the view are dropped. */
        const val MAX_RECORDED_JOBS = 10_000
    }
}
