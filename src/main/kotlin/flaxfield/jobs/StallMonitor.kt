package flaxfield.jobs

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import org.slf4j.LoggerFactory

/** Why a job makes no progress. */
enum class Stall {
    /** It failed on several machines, and its retry delay is not over. */
    BACKS_OFF,

    /** Pending tasks wait for free resources. */
    WAITS_FOR_RESOURCES,

    /** Tasks are to leave their machines, and it is not proven yet that they did. */
    WAITS_FOR_PROOF,

    /** It does: all its tasks are placed. */
    RUNS,

    /** A task is recorded on a machine whose record was dropped. */
    MACHINE_GONE,
}

/** What keeps a job from making progress. Pure functions. */
object StallRules {
    /** [isKnown] tells whether a machine's record exists: it is dropped only once the machine's return was answered. */
    fun reason(job: Job, nowMs: Long, isKnown: (String) -> Boolean): Stall = when {
        job.allPlaced().any { !isKnown(it.machineName) } -> Stall.MACHINE_GONE
        job.retryAtMs > nowMs -> Stall.BACKS_OFF
        job.pendingCount > 0 -> Stall.WAITS_FOR_RESOURCES
        job.cancelled || job.allPlaced().any { it.stopping } -> Stall.WAITS_FOR_PROOF
        else -> Stall.RUNS
    }
}

/**
 * Watches for jobs whose records do not change: the leader logs them, and frees tasks on machines that are gone, which
 * nothing else would.
 */
class StallMonitor(private val context: ControllerContext, private val taskEvents: TaskEventCommitter) {
    /** A job's version as last seen, and since when. */
    private class Observation(val version: ULong, val sinceNs: Long) {
        /** How often the stall was logged: once in each [STALL_S], not at each check. */
        var logCount = 0
    }

    private val observations = HashMap<String, Observation>()
    private var nextCheckNs = 0L

    /** Checks all jobs once in a while, if this process is the leader. */
    fun tick() {
        if (context.nowNs < nextCheckNs) return
        nextCheckNs = context.nowNs + (context.settings.workers.leaseS * CHECK_LEASES * NANOS_PER_SECOND).toLong()
        if (!context.leadership.isLeader()) return observations.clear()
        val jobs = context.view.jobs
        observations.keys.retainAll(jobs.keys)
        for (job in jobs.values) {
            val version = job.chunks.values.maxOfOrNull { it.version } ?: job.version
            val before = observations[job.id]
            if (before == null || before.version != version) {
                observations[job.id] = Observation(version, context.nowNs)
            } else {
                check(job, before)
            }
        }
    }

    private fun check(job: Job, observation: Observation) {
        val unchangedS = (context.nowNs - observation.sinceNs) / NANOS_PER_SECOND
        if (unchangedS > context.settings.workers.leaseS && reason(job) == Stall.MACHINE_GONE) loseTasksOnGone(job)
        if (unchangedS < STALL_S * (observation.logCount + 1)) return
        observation.logCount++
        val reason = reason(job)
        if (reason != Stall.RUNS) logStall(job, unchangedS, reason)
    }

    private fun reason(job: Job): Stall = StallRules.reason(job, context.nowMs, context.view.machines::containsKey)

    /** A machine's record is dropped only after its return was answered, and names are never used again. */
    private fun loseTasksOnGone(job: Job) {
        for (placement in job.allPlaced().filter { it.machineName !in context.view.machines }) {
            taskEvents.add(
                TaskEvent.Lost(
                    job.id,
                    placement.index,
                    placement.attempt,
                    placement.machineName,
                    "machine_gone",
                    failed = false,
                ),
            )
        }
    }

    private fun logStall(job: Job, unchangedS: Double, reason: Stall) = log.info(
        "event=job_stalled term={} job={} reason={} unchanged_s={} pending={} placed={} team={}",
        context.leadership.term(),
        job.id,
        reason.name.lowercase(),
        unchangedS.toInt(),
        job.pendingCount,
        job.placedCount,
        job.spec.team,
    )

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.jobs")

        /** How often the records are checked, in leases. */
        const val CHECK_LEASES = 1.0

        /** The operators ask that no job waits 75 s without an explanation: one unchanged for as long is logged. */
        const val STALL_S = 75.0
    }
}
