package flaxfield.jobs

/** A proof about one task's attempt, to be committed. */
sealed interface TaskEvent {
    val job: String
    val index: Int
    val attempt: Long

    data class Done(override val job: String, override val index: Int, override val attempt: Long) : TaskEvent

    /** The attempt is surely not on [host] any more and did not complete. */
    data class Left(
        override val job: String,
        override val index: Int,
        override val attempt: Long,
        val host: String,
        val why: String,
        val failed: Boolean,
    ) : TaskEvent
}

/** Pure: what proofs make of a job's record. */
object Settle {
    /** After this many failures on different machines the job, not the machines, is to blame. */
    const val FAULTY_JOB_HOSTS = 2
    private const val MAX_HOSTS_KEPT = 8
    private const val MAX_BACKOFF_STEPS = 5

    /** The job after [events], or the same object if none of them applies. */
    fun apply(job: Job, events: Collection<TaskEvent>, nowMs: Long, backoffMs: Long): Job {
        var j = job
        for (e in events) {
            if (j.placed(e.index)?.attempt != e.attempt) continue
            j = when (e) {
                // The tasks of a gang complete together: if one is done, all are.
                is TaskEvent.Done -> if (j.isGang) j.finish((0 until j.spec.shards).toList()) else j.finish(listOf(e.index))
                is TaskEvent.Left -> left(j, e, nowMs, backoffMs)
            }
        }
        return j
    }

    private fun left(job: Job, e: TaskEvent.Left, nowMs: Long, backoffMs: Long): Job {
        var j = job.free(listOf(e.index))
        // The rest of a gang can't go on without it: all leave, then all start again as one new attempt.
        if (j.isGang) j = j.stop(j.allPlaced().map { it.index }.toList())
        if (!e.failed) return j
        val hosts = (j.errorHosts - e.host + e.host).takeLast(MAX_HOSTS_KEPT)
        val errors = j.errors + 1
        val over = hosts.size - FAULTY_JOB_HOSTS
        val retry = if (over < 0) 0L else nowMs + (backoffMs shl minOf(over, MAX_BACKOFF_STEPS))
        return j.copy(errorHosts = hosts, errors = errors, retryAtMs = retry)
    }
}
