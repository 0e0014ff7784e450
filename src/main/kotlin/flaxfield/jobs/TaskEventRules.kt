package flaxfield.jobs

/** A proof about one task's attempt, to be committed. */
sealed interface TaskEvent {
    val job: String
    val index: Int
    val attempt: Long

    data class Completed(override val job: String, override val index: Int, override val attempt: Long) : TaskEvent

    /** The attempt is surely not on [machineName] any more and did not complete. */
    data class Lost(
        override val job: String,
        override val index: Int,
        override val attempt: Long,
        val machineName: String,
        val why: String,
        val failed: Boolean,
        /** Its worker refused to start it: it never ran there. */
        val refused: Boolean = false,
        /** Whether it may have run to its end before it was gone: nobody has heard how it ended. */
        val outcomeUnknown: Boolean = false,
    ) : TaskEvent
}

/** Pure: what proofs make of a job's record. */
object TaskEventRules {
    /** After this many failures on different machines the job, not the machines, is to blame. */
    const val FAULTY_JOB_HOSTS = 2
    private const val MAX_HOSTS_KEPT = 8
    private const val MAX_BACKOFF_STEPS = 5

    /**
     * The job after [events], or the same object if none of them applies. With [tracksLosses] the record keeps which
     * tasks were lost until they run again.
     */
    fun apply(
        job: Job,
        events: Collection<TaskEvent>,
        nowMs: Long,
        backoffMs: Long,
        tracksLosses: Boolean = false,
    ): Job {
        val done = events.filter {
            it is TaskEvent.Completed && job.placed(it.index)?.attempt == it.attempt
        }.map { it.index }
        var j = when {
            done.isEmpty() -> job
            // The tasks of a gang complete together: if one is done, all are.
            job.isGang -> job.finish((0 until job.spec.taskCount).toList())
            else -> job.finish(done)
        }
        for (e in events) {
            if (e !is TaskEvent.Lost || j.placed(e.index)?.attempt != e.attempt) continue
            j = left(j, e, nowMs, backoffMs)
            if (tracksLosses && !e.refused) j = j.interrupt(listOf(e.index))
        }
        return j
    }

    private fun left(job: Job, e: TaskEvent.Lost, nowMs: Long, backoffMs: Long): Job {
        var j = job.free(listOf(e.index))
        // The rest of a gang can't go on without it: all leave, then all start again as one new attempt.
        if (j.isGang) j = j.stop(j.allPlaced().map { it.index }.toList())
        if (!e.failed) return j
        val hosts = (j.failedMachines - e.machineName + e.machineName).takeLast(MAX_HOSTS_KEPT)
        val failureCount = j.failureCount + 1
        val over = hosts.size - FAULTY_JOB_HOSTS
        // One completed task shows that the job is no mistake: its failures were the machines'.
        val retry = if (over < 0 || j.doneCount > 0) 0L else nowMs + (backoffMs shl minOf(over, MAX_BACKOFF_STEPS))
        return j.copy(failedMachines = hosts, failureCount = failureCount, retryAtMs = retry)
    }
}
