package flaxfield.workers

import flaxfield.NANOS_PER_MILLI
import flaxfield.jobs.Job

/** The conclusion about a machine from the tasks that failed on it. */
enum class FaultVerdict {
    NONE,

    /** The machine or the job may be at fault: nothing is placed here until the job has been retried elsewhere. */
    SUSPECT,

    /**
     * The job found no other machine for its retry. The machine is in use again, so that the job can be retried here. It
     * is faulty if that fails too.
     */
    ON_PROBATION,
    FAULTY,
}

/** The failures of one job on a machine: the time of the first, and whether its retry on the machine failed too. */
data class FailureHistory(val firstNs: Long, val retryFailed: Boolean = false)

/**
 * Attributes task failures on a machine either to the machine or to the jobs. Immutable.
 *
 * A defective job fails on every machine, and a faulty machine fails every job, so a single failure is inconclusive.
 * Holds the failures of each job that has failed since a task last completed on the machine.
 */
data class MachineFailures(private val byJob: Map<String, FailureHistory> = emptyMap()) {
    /** Whether there are no failures. */
    val isEmpty: Boolean get() = byJob.isEmpty()

    /**
     * Adds a failure of [job]. After its first failure, further ones count only once the job does not avoid the machine
     * any more: earlier ones are of tasks that were placed before the first failure was known. The number of tracked
     * jobs is limited.
     */
    fun plusFailure(job: String, nowNs: Long): MachineFailures {
        val history = byJob[job]
        return when {
            history == null && byJob.size >= MAX_TRACKED_JOBS -> this
            history == null -> MachineFailures(byJob + (job to FailureHistory(nowNs)))
            nowNs - history.firstNs >= EXCLUSION_NS -> MachineFailures(
                byJob + (job to history.copy(retryFailed = true)),
            )
            else -> this
        }
    }

    /**
     * Evaluates the failures on [machineName]. [retryOf] returns the retry of a job that is still active, or null if
     * the job has finished or was cancelled, in which case its failure is ignored.
     */
    fun evaluate(machineName: String, nowNs: Long, retryOf: (String) -> JobRetry?): FaultVerdict {
        val verdicts = byJob.mapNotNull { (job, history) ->
            // If the job has failed on another machine too, the job is at fault.
            retryOf(job)?.takeIf { retry -> retry.failedMachines.all { it == machineName } }
                ?.let { verdict(history, nowNs, it) }
        }
        if (verdicts.size >= MIN_JOBS_FOR_FAULTY) return FaultVerdict.FAULTY
        return verdicts.singleOrNull() ?: FaultVerdict.NONE
    }

    /** Returns the verdict from the failures of a job that has failed on this machine only. */
    private fun verdict(history: FailureHistory, nowNs: Long, retry: JobRetry): FaultVerdict {
        val elapsedNs = nowNs - history.firstNs
        return when {
            history.retryFailed -> FaultVerdict.FAULTY
            elapsedNs >= EXCLUSION_NS && !retry.isPlacedElsewhere -> FaultVerdict.ON_PROBATION
            elapsedNs <= retry.durationNs -> FaultVerdict.SUSPECT
            // The job had enough time to fail elsewhere and did not.
            else -> FaultVerdict.FAULTY
        }
    }

    /**
     * The committed [failedMachines] of a failed job, how long its next attempt may take to fail too, and whether it has
     * a task on another machine.
     */
    data class JobRetry(val failedMachines: List<String>, val durationNs: Long, val isPlacedElsewhere: Boolean = false)

    private companion object {
        /** The machine is faulty if this many jobs have failed on it and on no other machine. */
        const val MIN_JOBS_FOR_FAULTY = 2
        const val MAX_TRACKED_JOBS = 8

        /** How long a job avoids a machine where it failed. */
        const val EXCLUSION_NS = Job.MACHINE_EXCLUSION_MS * NANOS_PER_MILLI
    }
}
