package flaxfield.jobs

/** What task events make of a job's record. Pure functions. */
object TaskEventRules {
    /** After failures on this many different machines the job, not the machines, is to blame. */
    const val MIN_FAILED_MACHINES_OF_FAULTY_JOB = 2
    private const val MAX_FAILED_MACHINES = 8
    private const val MAX_BACKOFF_DOUBLINGS = 5

    /**
     * The job after [events], or the same object if none of them applies: an event applies only to the attempt that is
     * recorded. [backoffMs] is the first retry delay of a job that fails everywhere. With [tracksLosses] the record
     * keeps which tasks were lost until they run again.
     */
    fun apply(
        job: Job,
        events: Collection<TaskEvent>,
        nowMs: Long,
        backoffMs: Long,
        tracksLosses: Boolean = false,
    ): Job {
        var result = complete(job, events)
        for (event in events) {
            if (event !is TaskEvent.Lost || !isRecorded(result, event)) continue
            result = lose(result, event, nowMs, backoffMs)
            if (tracksLosses && !event.refused) result = result.interrupt(listOf(event.index))
        }
        return result
    }

    private fun isRecorded(job: Job, event: TaskEvent): Boolean = job.placed(event.index)?.attempt == event.attempt

    private fun complete(job: Job, events: Collection<TaskEvent>): Job {
        val completed = events.filter { it is TaskEvent.Completed && isRecorded(job, it) }.map { it.index }
        return when {
            completed.isEmpty() -> job
            // The tasks of a gang complete together: if one is done, all are.
            job.isGang -> job.finish((0 until job.spec.taskCount).toList())
            else -> job.finish(completed)
        }
    }

    private fun lose(job: Job, event: TaskEvent.Lost, nowMs: Long, backoffMs: Long): Job {
        var result = job.free(listOf(event.index))
        // The rest of a gang can't go on without it: all leave, then all start again as one new attempt.
        if (result.isGang) result = result.stop(result.allPlaced().map { it.index }.toList())
        return if (event.failed) recordFailure(result, event.machineName, nowMs, backoffMs) else result
    }

    private fun recordFailure(job: Job, machineName: String, nowMs: Long, backoffMs: Long): Job {
        val failedMachines = (job.failedMachines - machineName + machineName).takeLast(MAX_FAILED_MACHINES)
        val doublings = failedMachines.size - MIN_FAILED_MACHINES_OF_FAULTY_JOB
        // One completed task shows that the job is no mistake: its failures were the machines'.
        val backsOff = doublings >= 0 && job.doneCount == 0
        val retryAtMs = if (backsOff) nowMs + (backoffMs shl minOf(doublings, MAX_BACKOFF_DOUBLINGS)) else 0L
        return job.copy(failedMachines = failedMachines, failureCount = job.failureCount + 1, retryAtMs = retryAtMs)
    }
}
