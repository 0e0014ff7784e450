package flaxfield.workers

/** The conclusion about a machine from the tasks that failed on it. */
enum class FaultVerdict {
    NONE,

    /** The machine or the job may be at fault: nothing is placed here until the job has been retried elsewhere. */
    SUSPECT,
    FAULTY,
}

/**
 * Attributes task failures on a machine either to the machine or to the jobs. Immutable.
 *
 * A defective job fails on every machine, and a faulty machine fails every job, so a single failure is inconclusive.
 * Holds the time of the first failure of each job that has failed since a task last completed on the machine.
 */
data class MachineFailures(private val firstFailureNs: Map<String, Long> = emptyMap()) {
    /** Whether there are no failures. */
    val isEmpty: Boolean get() = firstFailureNs.isEmpty()

    /** Adds a failure of [job]. Only a job's first failure counts, and the number of tracked jobs is limited. */
    fun plusFailure(job: String, nowNs: Long): MachineFailures = if (job in firstFailureNs ||
        firstFailureNs.size >= MAX_TRACKED_JOBS
    ) {
        this
    } else {
        MachineFailures(firstFailureNs + (job to nowNs))
    }

    /**
     * Evaluates the failures on [machineName]. [retryOf] returns the retry of a job that is still active, or null if
     * the job has finished or was cancelled, in which case its failure is ignored.
     */
    fun evaluate(machineName: String, nowNs: Long, retryOf: (String) -> JobRetry?): FaultVerdict {
        var failedOnlyHere = 0
        var undecided = 0
        for ((job, sinceNs) in firstFailureNs) {
            val retry = retryOf(job) ?: continue
            // The job has failed on another machine too, so the job is at fault.
            if (retry.failedMachines.any { it != machineName }) continue
            failedOnlyHere++
            if (nowNs - sinceNs <= retry.durationNs) undecided++
        }
        return when {
            failedOnlyHere >= MIN_JOBS_FOR_FAULTY -> FaultVerdict.FAULTY
            failedOnlyHere == 0 -> FaultVerdict.NONE
            undecided > 0 -> FaultVerdict.SUSPECT
            // The job had enough time to fail elsewhere and did not.
            else -> FaultVerdict.FAULTY
        }
    }

    /** The committed [failedMachines] of a failed job, and how long its next attempt may take to fail too. */
    data class JobRetry(val failedMachines: List<String>, val durationNs: Long)

    private companion object {
        /** The machine is faulty if this many jobs have failed on it and on no other machine. */
        const val MIN_JOBS_FOR_FAULTY = 2
        const val MAX_TRACKED_JOBS = 8
    }
}
