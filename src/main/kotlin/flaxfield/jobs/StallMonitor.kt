package flaxfield.jobs

import flaxfield.NANOS_PER_SECOND
import flaxfield.arrays.MachineHealth
import flaxfield.arrays.TopologyConstraint
import flaxfield.controller.ControllerContext
import org.slf4j.LoggerFactory

/** Why a job makes no progress. */
enum class StallReason {
    /** The job failed on several machines, and its retry delay has not expired. */
    BACKS_OFF,

    /** Pending tasks wait for free resources. */
    WAITS_FOR_RESOURCES,

    /** Machines have free resources for pending tasks, but the job may use none of them because it failed there. */
    MACHINES_EXCLUDED,

    /** Tasks are stopping, and their termination has not been confirmed yet. */
    WAITS_FOR_PROOF,

    /** All tasks of the job are placed, so it does make progress. */
    NOT_STALLED,

    /** A task is recorded on a machine whose record was deleted. */
    MACHINE_GONE,
}

/** How many open machines have free resources for a task of a job, and how many of these the job excludes. */
data class FittingMachines(val count: Int, val excluded: Int) {
    /** Whether the exclusions alone keep the job from all machines with free resources. */
    val areAllExcluded: Boolean get() = count > 0 && excluded == count
}

/** Determines why a job makes no progress. Pure functions. */
object StallRules {
    /**
     * Returns why [job] makes no progress, given the machines with free resources, [fitting]. [machineExists] returns
     * whether a machine has a record. The record is deleted only after the cloud has confirmed the machine's return.
     */
    fun reason(job: Job, nowMs: Long, fitting: FittingMachines, machineExists: (String) -> Boolean): StallReason =
        when {
            job.allPlaced().any { !machineExists(it.machineName) } -> StallReason.MACHINE_GONE
            job.retryAtMs > nowMs -> StallReason.BACKS_OFF
            job.pendingCount > 0 && fitting.areAllExcluded -> StallReason.MACHINES_EXCLUDED
            job.pendingCount > 0 -> StallReason.WAITS_FOR_RESOURCES
            job.cancelled || job.hasStoppingTasks -> StallReason.WAITS_FOR_PROOF
            else -> StallReason.NOT_STALLED
        }
}

/**
 * Detects jobs whose records do not change. The leader logs them, and records tasks on removed machines as lost. Only
 * this class records such losses.
 */
class StallMonitor(private val context: ControllerContext, private val taskEvents: TaskEventCommitter) {
    /** A version of a job's records, and when this monitor first saw it. */
    private class Observation(val version: ULong, val sinceNs: Long) {
        /** How often the stall was logged: once per [STALL_THRESHOLD_S], not at each check. */
        var logCount = 0
    }

    private val observations = HashMap<String, Observation>()
    private var nextCheckNs = 0L

    /** Checks all jobs at a fixed interval if this process is the leader. */
    fun tick() {
        if (context.nowNs < nextCheckNs) return
        nextCheckNs =
            context.nowNs + (context.settings.workers.leaseS * CHECK_INTERVAL_LEASES * NANOS_PER_SECOND).toLong()
        if (!context.leadership.isLeader()) return observations.clear()
        val jobs = context.view.jobs
        observations.keys.retainAll(jobs.keys)
        for (job in jobs.values) {
            val version = job.chunks.values.maxOfOrNull { it.version } ?: job.version
            val previous = observations[job.id]
            if (previous == null || previous.version != version) {
                observations[job.id] = Observation(version, context.nowNs)
            } else {
                check(job, previous)
            }
        }
    }

    private fun check(job: Job, observation: Observation) {
        val unchangedS = (context.nowNs - observation.sinceNs) / NANOS_PER_SECOND
        if (unchangedS <= context.settings.workers.leaseS) return
        val fitting = fittingMachines(job)
        val reason = StallRules.reason(job, context.nowMs, fitting, context.view.machines::containsKey)
        if (reason == StallReason.MACHINE_GONE) recordOrphansAsLost(job)
        if (unchangedS < STALL_THRESHOLD_S * (observation.logCount + 1)) return
        observation.logCount++
        if (reason != StallReason.NOT_STALLED) logStall(job, unchangedS, reason, fitting)
    }

    private fun fittingMachines(job: Job): FittingMachines {
        val view = context.view
        if (job.pendingCount == 0) return FittingMachines(0, 0)
        val fitting = view.machines.values.filter { machine ->
            machine.isSchedulable &&
                view.machineStatus(machine.name)?.health == MachineHealth.OK &&
                TopologyConstraint.allowsMachine(job.spec, machine) &&
                view.room(machine)?.canHold(job.spec) == true
        }
        val excluded = job.excludedMachines(context.nowMs)
        return FittingMachines(fitting.size, fitting.count { it.name in excluded })
    }

    /**
     * Records tasks on removed machines as lost. A machine's record is deleted only after the cloud has confirmed its
     * return, and machine names are never reused.
     */
    private fun recordOrphansAsLost(job: Job) {
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

    private fun logStall(job: Job, unchangedS: Double, reason: StallReason, fitting: FittingMachines) = log.info(
        "event=job_stalled term={} job={} reason={} unchanged_s={} pending={} placed={} team={} fitting={} excluded={}",
        context.leadership.term(),
        job.id,
        reason.name.lowercase(),
        unchangedS.toInt(),
        job.pendingCount,
        job.placedCount,
        job.spec.team,
        fitting.count,
        fitting.excluded,
    )

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.jobs")

        /** The interval between two checks, in worker leases. */
        const val CHECK_INTERVAL_LEASES = 1.0

        /** A job unchanged for this long is logged: operators require that no job waits 75 s without an explanation. */
        const val STALL_THRESHOLD_S = 75.0
    }
}
