package flaxfield.workers

/** What the tasks that failed on a machine make of it. */
enum class FaultVerdict {
    NONE,

    /** It may be the machine or the job: nothing more is placed here until the job has been tried elsewhere. */
    SUSPECT,
    FAULTY,
}

/**
 * Pure: whether failures speak against their machine or against their jobs. A job submitted with a mistake fails on
 * every machine, and a faulty machine fails every job: taken at their first failure, all machines that one broken
 * array was on went back at once. Held here are the jobs that failed since a task last completed on the machine.
 */
data class MachineFailures(private val sinceNs: Map<String, Long> = emptyMap()) {
    val none: Boolean get() = sinceNs.isEmpty()

    fun failed(job: String, nowNs: Long): MachineFailures =
        if (job in sinceNs || sinceNs.size >= MAX_KEPT) this else MachineFailures(sinceNs + (job to nowNs))

    /**
     * [trial] tells of a job that is not over where else it failed, and how long its next try may take; null if the job
     * is over, and its failure says nothing any more.
     */
    fun blame(machineName: String, nowNs: Long, trial: (String) -> RetryTrial?): FaultVerdict {
        var against = 0
        var undecided = 0
        for ((job, since) in sinceNs) {
            val t = trial(job) ?: continue
            // It failed elsewhere too: it is the job's mistake, whichever machine comes next.
            if (t.failedMachines.any { it != machineName }) continue
            against++
            if (nowNs - since <= t.takesNs) undecided++
        }
        return when {
            against >= DIFFERENT_JOBS -> FaultVerdict.FAULTY
            against == 0 -> FaultVerdict.NONE
            undecided > 0 -> FaultVerdict.SUSPECT
            // It has had the time to fail elsewhere, and did not.
            else -> FaultVerdict.FAULTY
        }
    }

    /**
     * What is known of a job that failed: its [failedMachines] as committed, and what it may take to fail elsewhere.
     */
    data class RetryTrial(val failedMachines: List<String>, val takesNs: Long)

    private companion object {
        /** So many jobs that failed nowhere else, and the machine is faulty for sure. */
        const val DIFFERENT_JOBS = 2
        const val MAX_KEPT = 8
    }
}
