package flaxfield.operator

import flaxfield.arrays.MachineHealth
import flaxfield.drain.FleetSnapshot
import flaxfield.drain.FleetZoneRules
import flaxfield.jobs.FinishedJob
import flaxfield.jobs.GangTransactionSize
import flaxfield.jobs.Job
import flaxfield.jobs.Placement
import flaxfield.operator.v1.JobExplanation
import flaxfield.quota.TeamUsage
import flaxfield.settings.Team
import flaxfield.zones.RepeatGuard

/** Why a job is in its state: a stable [code] for scripts and a description for people. */
internal class JobReason(val code: String, val detail: String)

/**
 * Explains why a job's tasks are pending. Checks the scheduler's conditions in the scheduler's order: the team's limit,
 * the allowed machines, and a placement round over the resources that are free according to the records, all at [nowMs].
 * Pure.
 */
class JobExplainer(
    private val snapshot: FleetSnapshot,
    private val teams: Map<String, Team>,
    private val gangSize: GangTransactionSize,
    private val nowMs: Long,
) {
    private val placement = PlacementExplainer(snapshot, nowMs)
    private val repeatGuard = RepeatGuard(FleetZoneRules { snapshot }) { snapshot.zones[it] }

    /** Returns the state of [job] and the first condition that its pending tasks do not meet. */
    fun explain(job: Job): JobExplanation {
        val reason = reason(job)
        return JobExplanation.newBuilder()
            .setRevision(snapshot.revision.toLong())
            .setJob(job.id)
            .setTeam(job.spec.team)
            .setState(state(job))
            .setTasks(job.spec.taskCount)
            .setDone(job.doneCount)
            .setPlaced(job.placedCount)
            .setReason(reason.code)
            .setDetail(reason.detail)
            .build()
    }

    private fun state(job: Job): String = when {
        job.cancelled -> "cancelled"
        job.pendingCount > 0 -> "waiting"
        else -> "running"
    }

    private fun reason(job: Job): JobReason {
        if (job.cancelled) return JobReason("cancelled", "${job.placedCount} tasks are being stopped")
        heldByLostZone(job)?.let { return it }
        return when {
            job.pendingCount == 0 -> JobReason("placed", "all unfinished tasks are placed on machines")
            job.isGang && job.placedCount > 0 ->
                JobReason("gang_leaving", "${job.placedCount} tasks of the previous attempt are still on machines")
            job.isCrashLooping -> JobReason(
                "fails_everywhere",
                "${job.failureCount} failures on ${job.failedMachines.size} machines: " +
                    "the job is in a crash loop and retried less often",
            )
            else -> tooLarge(job) ?: limitedByQuota(job) ?: placement.explain(job)
        }
    }

    /**
     * Returns a reason if a task may have finished unreported in a lost zone, and its class forbids restarting it. Such
     * a task stays held until the zone reports its outcome or an operator abandons it.
     */
    private fun heldByLostZone(job: Job): JobReason? {
        val machine = job.allPlaced().firstNotNullOfOrNull { placement ->
            snapshot.machines[placement.machineName]?.takeIf {
                !isReporting(placement) && repeatGuard.isHeld(job, it.zone)
            }
        } ?: return null
        val command = "zone abandon ${machine.zone} --class ${job.spec.jobClass}"
        return JobReason("held", "its tasks on ${machine.name} may have finished unreported; '$command' abandons them")
    }

    /** Whether the worker incarnation that runs the task still reports. */
    private fun isReporting(placement: Placement): Boolean {
        val status = snapshot.machineStatuses[placement.machineName]
        return status?.health == MachineHealth.OK && status.incarnation == placement.incarnation
    }

    /** Returns a reason for a gang that no transaction can start, which an earlier build has accepted. */
    private fun tooLarge(job: Job): JobReason? =
        gangSize.rejectionReason(job.spec)?.let { JobReason("too_large", "$it; it waits until it is cancelled") }

    private fun limitedByQuota(job: Job): JobReason? {
        val needed = if (job.isGang) job.spec.taskCount else 1
        val allowed = TeamUsage(snapshot.jobs.values, teams).remainingTasks(job.spec.team, job.spec.taskResources)
        if (allowed >= needed) return null
        return JobReason(
            "team_limit",
            "team ${job.spec.team} has quota for $allowed more tasks of this size, but the job needs $needed",
        )
    }

    companion object {
        /** Returns the explanation of the finished job called [id] at [revision]. */
        fun finished(id: String, job: FinishedJob, revision: ULong): JobExplanation {
            val outcome = if (job.aborted) "cancelled" else "done"
            return JobExplanation.newBuilder()
                .setRevision(revision.toLong())
                .setJob(id)
                .setState("over")
                .setDone(job.done)
                .setReason(outcome)
                .setDetail("the job has finished: $outcome")
                .build()
        }
    }
}
