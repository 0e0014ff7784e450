package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import flaxfield.jobs.TaskEvent
import org.slf4j.LoggerFactory

/** The reason why a machine counts as faulty. It then counts as faulty until it is returned to the cloud. */
enum class FaultReason { TASKS_FAIL_ONLY_HERE, RESPONSES_NOT_RECEIVED }

/**
 * Detects faulty machines from tasks that fail there and from responses that do not reach the worker. The evidence and
 * the verdict are stored in [WorkerState]. A faulty machine gets no new tasks and is returned to the cloud. A task is
 * placed elsewhere only once its end on the faulty machine is proven.
 */
internal class FaultDetector(private val context: ControllerContext) {
    /** Updates the failure evidence of a machine after one of its tasks has ended. */
    fun recordTaskEvent(event: TaskEvent, workerState: WorkerState) {
        if (event is TaskEvent.Completed && !workerState.failures.isEmpty) workerState.failures = MachineFailures()
        if (event !is TaskEvent.Lost || !event.failed) return
        if (workerState.failures.isEmpty) {
            log.info(
                "event=task_failed job={} task={} machine={} reason=machine_or_job",
                event.job,
                event.index,
                event.machineName,
            )
        }
        workerState.failures = workerState.failures.plusFailure(event.job, context.nowNs)
        context.decisions.request()
    }

    /** Evaluates the failures on a machine: marks it as faulty, or discards failures that it did not cause. */
    fun evaluateFailures(workerState: WorkerState): FaultVerdict {
        if (workerState.failures.isEmpty) return FaultVerdict.NONE
        val verdict = workerState.failures.evaluate(workerState.machineName, context.nowNs) { id ->
            val job = context.view.jobs[id]
            if (job == null || job.cancelled) {
                null
            } else {
                val isPlacedElsewhere = job.allPlaced().any { it.machineName != workerState.machineName }
                MachineFailures.JobRetry(job.failedMachines, retryDurationNs(job, workerState), isPlacedElsewhere)
            }
        }
        when (verdict) {
            FaultVerdict.NONE -> workerState.failures = MachineFailures()
            FaultVerdict.FAULTY -> markFaulty(workerState, FaultReason.TASKS_FAIL_ONLY_HERE)
            FaultVerdict.SUSPECT, FaultVerdict.ON_PROBATION -> Unit
        }
        return verdict
    }

    /**
     * Marks a machine as faulty if this controller's responses do not reach it. If a large share of [reportingWorkers],
     * the workers that send this controller heartbeats, misses responses too, the fault is more likely local and the
     * machine is not marked.
     */
    fun markUnreachable(workerState: WorkerState, reportingWorkers: List<WorkerState>) {
        val max = maxOf(1.0, reportingWorkers.size * ResponseReachability.MAX_UNREACHABLE_SHARE)
        if (reportingWorkers.count { it.reachability.missedResponses > 0 } > max) return
        markFaulty(workerState, FaultReason.RESPONSES_NOT_RECEIVED)
    }

    private fun markFaulty(workerState: WorkerState, reason: FaultReason) {
        workerState.faultReason = reason
        log.info("event=machine_faulty machine={} reason={}", workerState.machineName, reason.name.lowercase())
        context.decisions.request()
    }

    /** Returns how long the job's next attempt may take to fail too: its launch and image pull, with a margin. */
    private fun retryDurationNs(job: Job, workerState: WorkerState): Long {
        val gbPerS = context.view.machineTypes[workerState.heartbeat?.machineType]?.fetchGbPerS ?: 1.0
        val pullS = job.spec.imageGb / gbPerS * CONCURRENT_PULLS
        return ((context.settings.workers.leaseS + pullS) * NANOS_PER_SECOND).toLong()
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.workers")

        /** Margin factor: concurrent image pulls share the machine's bandwidth. */
        const val CONCURRENT_PULLS = 1.5
    }
}
