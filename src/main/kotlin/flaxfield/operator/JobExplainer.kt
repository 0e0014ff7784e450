package flaxfield.operator

import flaxfield.arrays.MachineHealth
import flaxfield.drain.FleetSnapshot
import flaxfield.jobs.FinishedJob
import flaxfield.jobs.Job
import flaxfield.jobs.Placement
import flaxfield.operator.v1.JobExplanation
import flaxfield.quota.TeamUsage
import flaxfield.settings.Team
import flaxfield.zones.FleetZoneRules
import flaxfield.zones.RepeatGuard

/** Why a job is in its state: a stable code for scripts and a description for people. */
internal class JobReason(val code: String, val detail: String)

/**
 * Pure: why a job's tasks are pending, by the scheduler's own conditions in the order in which it checks them: the
 * team's limit, the allowed machines, and one placement round over the resources that are free by the records.
 */
class JobExplainer(private val snapshot: FleetSnapshot, private val teams: Map<String, Team>) {
    private val placement = PlacementExplainer(snapshot)
    private val repeatGuard = RepeatGuard(FleetZoneRules { snapshot }) { snapshot.zones[it] }

    /** The state of [job], with the first condition that its pending tasks wait for. */
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
            job.pendingCount == 0 -> JobReason("placed", "all tasks that are not done are on machines")
            job.isGang && job.placedCount > 0 ->
                JobReason("gang_leaving", "${job.placedCount} tasks of the last attempt are still on machines")
            job.isCrashLooping -> JobReason(
                "fails_everywhere",
                "${job.failureCount} failures on ${job.failedMachines.size} machines: tried again now and then",
            )
            else -> limitedByQuota(job) ?: placement.explain(job)
        }
    }

    /** Set if a task was on a machine of a lost zone, may have ended there, and must not be restarted by its class. */
    private fun heldByLostZone(job: Job): JobReason? {
        val machine = job.allPlaced().firstNotNullOfOrNull { placement ->
            snapshot.machines[placement.machineName]?.takeIf {
                !isReported(placement) && repeatGuard.isHeld(job, it.zone)
            }
        } ?: return null
        val command = "zone abandon ${machine.zone} --class ${job.spec.jobClass}"
        return JobReason("held", "what it had on ${machine.name} may have ended there unheard; '$command' gives it up")
    }

    /** Whether the worker that was given the task still reports. */
    private fun isReported(placement: Placement): Boolean {
        val status = snapshot.machineStatuses[placement.machineName]
        return status?.state == MachineHealth.OK && status.incarnation == placement.incarnation
    }

    private fun limitedByQuota(job: Job): JobReason? {
        val needed = if (job.isGang) job.spec.taskCount else 1
        val allowed = TeamUsage(snapshot.jobs.values, teams).remainingTasks(job.spec.team, job.spec.taskResources)
        if (allowed >= needed) return null
        return JobReason(
            "team_limit",
            "team ${job.spec.team} may run $allowed more tasks of this size, $needed are needed",
        )
    }

    companion object {
        /** What is known at [revision] of the job called [id], which is finished. */
        fun finished(id: String, job: FinishedJob, revision: ULong): JobExplanation {
            val outcome = if (job.aborted) "cancelled" else "done"
            return JobExplanation.newBuilder()
                .setRevision(revision.toLong())
                .setJob(id)
                .setState("over")
                .setDone(job.done)
                .setReason(outcome)
                .setDetail("the job is over: $outcome")
                .build()
        }
    }
}
