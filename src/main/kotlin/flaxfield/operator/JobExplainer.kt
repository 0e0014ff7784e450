package flaxfield.operator

import flaxfield.arrays.HostState
import flaxfield.arrays.Seat
import flaxfield.arrays.ZoneRule
import flaxfield.drain.FleetSnapshot
import flaxfield.gangs.GangRound
import flaxfield.gangs.Round
import flaxfield.jobs.Job
import flaxfield.jobs.Room
import flaxfield.operator.v1.JobExplanation
import flaxfield.quota.TeamUse
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
            .setTeam(job.spec.owner)
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
        if (job.suspect) {
            return Reason(
                "fails_everywhere",
                "${job.errors} failures on ${job.errorHosts.size} machines: tried again now and then",
            )
        }
        return limit(job) ?: room(job)
    }

    private val guard = RepeatGuard(FleetZoneRules { snapshot }) { snapshot.zones[it] }

    /** Whether a task of it waits for word from a zone that was lost: its class forbids a repeat. */
    private fun held(job: Job): Reason? {
        val machine = job.allPlaced().firstNotNullOfOrNull { p ->
            val room = snapshot.rooms[p.host]
            val isHere = room?.state == HostState.OK && room.session == p.session
            snapshot.machines[p.host]?.takeIf { !isHere && guard.isHeld(job, it.zone) }
        } ?: return null
        val order = "zone abandon ${machine.zone} --class ${job.spec.jobClass}"
        return Reason("held", "what it had on ${machine.name} may have ended there unheard; '$order' gives it up")
    }

    private fun limit(job: Job): Reason? {
        val needed = if (job.isGang) job.spec.taskCount else 1
        val allowed = TeamUse(snapshot.jobs.values, teams).allows(job.spec.owner, job.spec.need)
        if (allowed >= needed) return null
        return Reason(
            "team_limit",
            "team ${job.spec.owner} may run $allowed more tasks of this size, $needed are needed",
        )
    }

    private fun room(job: Job): Reason {
        val allowed = snapshot.machines.values.filter {
            ZoneRule.kindAllowed(job.spec, it.machineType, it.zone, it.preemptible)
        }
        if (allowed.isEmpty()) return Reason("no_machine", "no machine of an allowed type, zone and kind is rented")
        val open = allowed.filter { it.takesWork && snapshot.rooms[it.name]?.state == HostState.OK }
        if (open.isEmpty()) {
            val drained = allowed.count { it.cordon != null }
            return Reason(
                "no_open_machine",
                "of ${allowed.size} allowed machines none takes work now, $drained are drained",
            )
        }
        val used = used()
        val seats = open.mapNotNull { m ->
            val whole = snapshot.machineTypes[m.machineType]?.room ?: return@mapNotNull null
            Seat(m, 0uL, whole - (used[m.name] ?: Room.NONE), emptyList(), m.name !in used)
        }
        val round = GangRound.run(job, seats.map { it.copy() })
        val free = seats.sumOf { minOf(it.free.count(job.spec.need), job.pendingCount) }
        return when {
            job.isGang && round is Round.Short ->
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

    private fun used(): Map<String, Room> {
        val result = HashMap<String, Room>()
        for (job in snapshot.jobs.values) {
            for (p in job.allPlaced()) result.merge(p.host, job.spec.need, Room::plus)
        }
        return result
    }
}
