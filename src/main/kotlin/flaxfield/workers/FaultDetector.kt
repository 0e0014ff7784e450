package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import flaxfield.jobs.TaskEvent
import org.slf4j.LoggerFactory

/** Why a machine is taken as faulty. A verdict stands until the machine is returned. */
enum class FaultReason { TASKS_FAIL_ONLY_HERE, RESPONSES_NOT_RECEIVED }

/**
 * Decides which machines are faulty: by the tasks that fail there, and by responses that do not reach the worker. The
 * evidence and the verdict are in [WorkerState]. A faulty machine gets no new work and is returned; its tasks leave
 * only on proof that they ended.
 */
internal class FaultDetector(private val context: ControllerContext) {
    /** Notes what the end of a task tells of its machine. */
    fun recordTaskEvent(event: TaskEvent, workerState: WorkerState) {
        if (event is TaskEvent.Completed && !workerState.failures.none) workerState.failures = MachineFailures()
        if (event !is TaskEvent.Lost || !event.failed) return
        if (workerState.failures.none) {
            log.info(
                "event=task_failed job={} task={} machine={} reason=machine_or_job",
                event.job,
                event.index,
                event.machineName,
            )
        }
        workerState.failures = workerState.failures.failed(event.job, context.nowNs)
        context.decisions.request()
    }

    /** Judges the failures on a machine as of now; records a fault, or forgets failures that prove nothing. */
    fun judgeFailures(workerState: WorkerState): FaultVerdict {
        if (workerState.failures.none) return FaultVerdict.NONE
        val verdict = workerState.failures.judge(workerState.machineName, context.nowNs) { id ->
            val job = context.view.jobs[id]
            if (job == null || job.cancelled) {
                null
            } else {
                MachineFailures.RetryTrial(job.failedMachines, retryDurationNs(job, workerState))
            }
        }
        when (verdict) {
            FaultVerdict.NONE -> workerState.failures = MachineFailures()
            FaultVerdict.FAULTY -> markFaulty(workerState, FaultReason.TASKS_FAIL_ONLY_HERE)
            FaultVerdict.SUSPECT -> Unit
        }
        return verdict
    }

    /**
     * Takes a machine that our responses do not reach as faulty. Not if the same holds for a large share of
     * [heardWorkers], those that have reported to us: then the fault is more likely on our side.
     */
    fun markUnreachable(workerState: WorkerState, heardWorkers: List<WorkerState>) {
        val max = maxOf(1.0, heardWorkers.size * ResponseReachability.MAX_UNREACHABLE_SHARE)
        if (heardWorkers.count { it.reachability.missed > 0 } > max) return
        markFaulty(workerState, FaultReason.RESPONSES_NOT_RECEIVED)
    }

    private fun markFaulty(workerState: WorkerState, reason: FaultReason) {
        workerState.faultReason = reason
        log.info("event=machine_faulty machine={} reason={}", workerState.machineName, reason.name.lowercase())
        context.decisions.request()
    }

    /** How long a job's next attempt may take to fail as well: its launch and the pull of its image, with a margin. */
    private fun retryDurationNs(job: Job, workerState: WorkerState): Long {
        val gbPerS = context.view.machineTypes[workerState.heartbeat?.machineType]?.fetchGbPerS ?: 1.0
        val pullS = job.spec.imageGb / gbPerS * CONCURRENT_PULLS
        return ((context.settings.workers.leaseS + pullS) * NANOS_PER_SECOND).toLong()
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.workers")

        /** Images that are pulled at the same time share the machine's rate. */
        const val CONCURRENT_PULLS = 1.5
    }
}
