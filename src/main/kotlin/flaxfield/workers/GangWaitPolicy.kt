package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.jobs.JobSpec
import flaxfield.store.PlacedTask
import org.slf4j.LoggerFactory

/**
 * Decides whether a gang's task that ended as incomplete is started again. It is, as long as another member may still be
 * fetching the image. Confined to the owner thread.
 */
internal class GangWaitPolicy(private val context: ControllerContext) {
    /** Records since when the gang tasks in [records] have been placed on the machine of [workerState]. */
    fun observe(records: List<PlacedTask>, workerState: WorkerState) {
        val sinceNs = workerState.gangTasksSinceNs
        val attempts = records.filter { it.job.isGang && it.job.spec.taskCount > 1 }.map(::attemptId)
        if (sinceNs.isNotEmpty()) sinceNs.keys.retainAll(attempts.toSet())
        for (attempt in attempts) sinceNs.putIfAbsent(attempt, context.nowNs)
    }

    /** Whether the gang of [record] may still become complete, so that its task on this machine waits again. */
    fun mayWaitAgain(record: PlacedTask, workerState: WorkerState): Boolean {
        val attempt = attemptId(record)
        val sinceNs = workerState.gangTasksSinceNs[attempt] ?: return false
        val placedS = (context.nowNs - sinceNs) / NANOS_PER_SECOND
        val mayWait = placedS < maxFetchS(record.job.spec)
        log.info(
            "event=gang_incomplete job={} task={} attempt={} machine={} placed_s={} waits_again={}",
            attempt.job,
            attempt.index,
            attempt.attempt,
            workerState.machineName,
            placedS.toInt(),
            mayWait,
        )
        return mayWait
    }

    /** Returns the longest time that the image of [spec] usually takes on any machine type that may run the job. */
    private fun maxFetchS(spec: JobSpec): Double {
        val machineTypes = context.view.machineTypes.values.filter {
            spec.machineTypes == null || it.label in spec.machineTypes
        }
        val gbPerS = machineTypes.minOfOrNull { it.fetchGbPerS } ?: return 0.0
        return spec.imageGb / gbPerS * MAX_FETCH_SLOWDOWN
    }

    private fun attemptId(record: PlacedTask) =
        AttemptId(record.job.id, record.placed.index, record.placed.attempt.toULong())

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.workers")

        /** PROTOCOL-flaxfield.md: the rate may be a third lower, and may be shared with another image. */
        const val MAX_FETCH_SLOWDOWN = 3.0
    }
}
