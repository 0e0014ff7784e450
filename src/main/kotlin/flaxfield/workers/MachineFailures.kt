package flaxfield.workers

/** What the tasks that failed on a machine tell of it. */
enum class FaultVerdict {
    NONE,

    /** Machine or job may be at fault: nothing more is placed here until the job has been tried elsewhere. */
    SUSPECT,
    FAULTY,
}

/**
 * Immutable, without side effects: whether failures speak against their machine or against their jobs. A job submitted
 * with a mistake fails on every machine, and a faulty machine fails every job, so a single failure decides nothing.
 * Holds the jobs that failed since a task last completed on the machine, and when each first did.
 */
data class MachineFailures(private val firstFailureNs: Map<String, Long> = emptyMap()) {
    /** Whether there are no failures to judge. */
    val none: Boolean get() = firstFailureNs.isEmpty()

    /** Adds a failure of [job]; a job's first failure counts, and only a limited number of jobs is kept. */
    fun failed(job: String, nowNs: Long): MachineFailures = if (job in firstFailureNs ||
        firstFailureNs.size >= MAX_JOBS
    ) {
        this
    } else {
        MachineFailures(firstFailureNs + (job to nowNs))
    }

    /**
     * Judges the failures on [machineName]. [trialOf] tells, of a job that is not over, where else it failed and how
     * long its next attempt may take; null if the job is over, and its failure proves nothing any more.
     */
    fun judge(machineName: String, nowNs: Long, trialOf: (String) -> RetryTrial?): FaultVerdict {
        var failedOnlyHere = 0
        var undecided = 0
        for ((job, sinceNs) in firstFailureNs) {
            val trial = trialOf(job) ?: continue
            // It failed elsewhere too: it is the job's mistake, whichever machine comes next.
            if (trial.failedMachines.any { it != machineName }) continue
            failedOnlyHere++
            if (nowNs - sinceNs <= trial.durationNs) undecided++
        }
        return when {
            failedOnlyHere >= MIN_FAULTY_JOBS -> FaultVerdict.FAULTY
            failedOnlyHere == 0 -> FaultVerdict.NONE
            undecided > 0 -> FaultVerdict.SUSPECT
            // It has had the time to fail elsewhere, and did not.
            else -> FaultVerdict.FAULTY
        }
    }

    /** A failed job's [failedMachines] as committed, and how long its next attempt may take to fail elsewhere. */
    data class RetryTrial(val failedMachines: List<String>, val durationNs: Long)

    private companion object {
        /** With this many jobs that failed nowhere else, the machine is faulty beyond doubt. */
        const val MIN_FAULTY_JOBS = 2
        const val MAX_JOBS = 8
    }
}
