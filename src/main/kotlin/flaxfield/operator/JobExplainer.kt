package flaxfield.operator

import flaxfield.arrays.MachineHealth
import flaxfield.arrays.PlacementCandidate
import flaxfield.arrays.TopologyConstraint
import flaxfield.drain.FleetSnapshot
import flaxfield.gangs.GangPlacement
import flaxfield.gangs.GangPlacementResult
import flaxfield.jobs.Job
import flaxfield.jobs.Resources
import flaxfield.operator.v1.JobExplanation
import flaxfield.quota.TeamUsage
import flaxfield.settings.Team
import flaxfield.zones.FleetZoneRules
import flaxfield.zones.RepeatGuard

/**
 * Pure: why a job waits, by the scheduler's own conditions in the order in which it asks them: the team's limit, the
 * machines that are allowed, and one placement round over the room that the records leave.
 */
class JobExplainer(private val snapshot: FleetSnapshot, private val teams: Map<String, Team>) {
    private class Reason(val word: String, val sentence: String)

    /** What is known of [job]; its tasks wait for the condition that is named. */
    fun explain(job: Job): JobExplanation {
        val reason = reason(job)
        val state = if (job.cancelled) {
            "cancelled"
        } else if (job.pendingCount > 0) {
            "waiting"
        } else {
            "running"
        }
        return JobExplanation.newBuilder()
            .setRevision(snapshot.revision.toLong())
            .setJob(job.id)
            .setTeam(job.spec.team)
            .setState(state)
            .setTasks(job.spec.taskCount)
            .setDone(job.doneCount)
            .setPlaced(job.placedCount)
            .setReason(reason.word)
            .setDetail(reason.sentence)
            .build()
    }

    private fun reason(job: Job): Reason {
        if (job.cancelled) return Reason("cancelled", "${job.placedCount} tasks are being stopped")
        held(job)?.let { return it }
        if (job.pendingCount == 0) return Reason("placed", "all tasks that are not done are on machines")
        if (job.isGang &&
            job.placedCount > 0
        ) {
            return Reason("gang_leaving", "${job.placedCount} tasks of the last attempt are still on machines")
        }
        if (job.isSuspect) {
            return Reason(
                "fails_everywhere",
                "${job.failureCount} failures on ${job.failedMachines.size} machines: tried again now and then",
            )
        }
        return limit(job) ?: room(job)
    }

    private val guard = RepeatGuard(FleetZoneRules { snapshot }) { snapshot.zones[it] }

    /** Whether a task of it waits for word from a zone that was lost: its class forbids a repeat. */
    private fun held(job: Job): Reason? {
        val machine = job.allPlaced().firstNotNullOfOrNull { p ->
            val room = snapshot.machineStatuses[p.machineName]
            val isHere = room?.state == MachineHealth.OK && room.incarnation == p.incarnation
            snapshot.machines[p.machineName]?.takeIf { !isHere && guard.isHeld(job, it.zone) }
        } ?: return null
        val order = "zone abandon ${machine.zone} --class ${job.spec.jobClass}"
        return Reason("held", "what it had on ${machine.name} may have ended there unheard; '$order' gives it up")
    }

    private fun limit(job: Job): Reason? {
        val needed = if (job.isGang) job.spec.taskCount else 1
        val allowed = TeamUsage(snapshot.jobs.values, teams).remainingTasks(job.spec.team, job.spec.taskResources)
        if (allowed >= needed) return null
        return Reason(
            "team_limit",
            "team ${job.spec.team} may run $allowed more tasks of this size, $needed are needed",
        )
    }

    private fun room(job: Job): Reason {
        val allowed = snapshot.machines.values.filter {
            TopologyConstraint.allowsMachineKind(job.spec, it.machineType, it.zone, it.preemptible)
        }
        if (allowed.isEmpty()) return Reason("no_machine", "no machine of an allowed type, zone and kind is rented")
        val open = allowed.filter { it.takesWork && snapshot.machineStatuses[it.name]?.state == MachineHealth.OK }
        if (open.isEmpty()) {
            val drained = allowed.count { it.cordon != null }
            return Reason(
                "no_open_machine",
                "of ${allowed.size} allowed machines none takes work now, $drained are drained",
            )
        }
        val used = used()
        val candidates = open.mapNotNull { m ->
            val whole = snapshot.machineTypes[m.machineType]?.room ?: return@mapNotNull null
            PlacementCandidate(m, 0uL, whole - (used[m.name] ?: Resources.NONE), emptyList(), m.name !in used)
        }
        val round = GangPlacement.place(job, candidates.map { it.copy() })
        val free = candidates.sumOf { minOf(it.free.countFitting(job.spec.taskResources), job.pendingCount) }
        return when {
            job.isGang && round is GangPlacementResult.Infeasible ->
                Reason(
                    "no_room_for_gang",
                    "${open.size} machines take work, the round placed ${round.assumed} of ${job.spec.taskCount} tasks",
                )
            !job.isGang && free == 0 -> Reason(
                "no_room",
                "none of ${open.size} machines that take work has room for a task",
            )
            else -> Reason("turn", "there is room for $free tasks: others go first, or the placement is on its way")
        }
    }

    private fun used(): Map<String, Resources> {
        val result = HashMap<String, Resources>()
        for (job in snapshot.jobs.values) {
            for (p in job.allPlaced()) result.merge(p.machineName, job.spec.taskResources, Resources::plus)
        }
        return result
    }
}
