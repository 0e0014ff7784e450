package flaxfield.jobs

/** Applies task events to a job's record. Pure functions. */
object TaskEventRules {
    /** After failures on this many different machines, the job is considered faulty rather than the machines. */
    const val MIN_FAILED_MACHINES_OF_CRASH_LOOP = 2
    private const val MAX_FAILED_MACHINES = 8
    private const val MAX_BACKOFF_DOUBLINGS = 5

    /**
     * Returns the job after [events], or the same object if none of them applies. An event applies only to the attempt
     * that is recorded. [backoffMs] is the first retry delay of a job that fails on several machines. With
     * [tracksLosses], lost tasks are recorded as interrupted until they run again.
     */
    fun apply(
        job: Job,
        events: Collection<TaskEvent>,
        nowMs: Long,
        backoffMs: Long,
        tracksLosses: Boolean = false,
    ): Job {
        val afterCompletions = applyCompletions(job, events)
        val losses = events.filterIsInstance<TaskEvent.Lost>()
            .filter { isRecorded(afterCompletions, it) }
            .distinctBy { it.index }
        if (losses.isEmpty()) return afterCompletions
        var result = applyLosses(afterCompletions, losses)
        for (loss in losses) {
            if (loss.failed) result = recordFailure(result, loss.machineName, nowMs, backoffMs)
        }
        return if (tracksLosses) result.interrupt(losses.filterNot { it.refused }.map { it.index }) else result
    }

    private fun isRecorded(job: Job, event: TaskEvent): Boolean = job.placed(event.index)?.attempt == event.attempt

    private fun applyCompletions(job: Job, events: Collection<TaskEvent>): Job {
        val completed = events.filter { it is TaskEvent.Completed && isRecorded(job, it) }.map { it.index }
        return when {
            completed.isEmpty() -> job
            // The tasks of a gang complete together: if one has completed, all have.
            job.isGang -> job.finish((0 until job.spec.taskCount).toList())
            else -> job.finish(completed)
        }
    }

    private fun applyLosses(job: Job, losses: List<TaskEvent.Lost>): Job {
        val freed = job.free(losses.map { it.index })
        // A gang can't continue without one of its tasks: the others stop, and then all restart as one new attempt.
        return if (freed.isGang) freed.stopAll() else freed
    }

    private fun recordFailure(job: Job, machineName: String, nowMs: Long, backoffMs: Long): Job {
        val failedMachines = (job.failedMachines - machineName + machineName).takeLast(MAX_FAILED_MACHINES)
        val doublings = failedMachines.size - MIN_FAILED_MACHINES_OF_CRASH_LOOP
        // One completed task shows that the job itself works and that the machines caused its failures.
        val backsOff = doublings >= 0 && job.doneCount == 0
        val retryAtMs = if (backsOff) nowMs + (backoffMs shl minOf(doublings, MAX_BACKOFF_DOUBLINGS)) else 0L
        return job.copy(
            failedMachines = failedMachines,
            failureCount = job.failureCount + 1,
            retryAtMs = retryAtMs,
            failedAtMs = nowMs,
        )
    }
}
