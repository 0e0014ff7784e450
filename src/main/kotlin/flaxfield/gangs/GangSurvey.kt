package flaxfield.gangs

import flaxfield.arrays.HostRoom
import flaxfield.arrays.HostState
import flaxfield.arrays.Seat
import flaxfield.fleet.Machine
import flaxfield.jobs.Job
import flaxfield.jobs.Priority
import flaxfield.jobs.Room
import flaxfield.node.NodeContext
import flaxfield.quota.JobOrder
import flaxfield.quota.TeamUse

/** What one run of the gang scheduler looks at, and what it has found out on the way. */
class GangSurvey(
    private val context: NodeContext,
    var seats: List<Seat>,
    val use: TeamUse,
    val guaranteed: Set<String>,
    val term: ULong,
) {
    /** Rounds that are known to be short. */
    val known = ShortRounds()
    private val evictable = HashMap<Rights, Map<String, Room>>()

    /** Machines that carry gangs now, with what their owners tell of them. */
    val busyWithGangs: List<Pair<Machine, HostRoom>> by lazy(LazyThreadSafetyMode.NONE) {
        val w = context.view
        w.machines.values.filter { m -> m.takesWork && w.jobsOn(m.name).any { it.isGang } }
            .mapNotNull { m -> w.hostRoom(m.name)?.takeIf { it.state == HostState.OK }?.let { m to it } }
    }

    /** The round of [job] on the seats as they are. */
    fun plain(job: Job): Round = known.run(job, "") { seats }

    /** The seats as they would be without the tasks that this gang may take the place of. */
    fun cleared(job: Job): List<Seat> {
        val room = evictable.getOrPut(rights(job)) { evictable(job) }
        return seats.map { s ->
            room[s.machine.name]?.let { Seat(s.machine, s.session, s.free + it, s.images, s.empty) }
                ?: s.copy()
        }
    }

    /** The round of [job] once others have made way for it. */
    fun afterEviction(job: Job): Round = known.run(job, rights(job).toString()) { cleared(job) }

    /** A machine carries one claim at a time. */
    fun claimed(hosts: Set<String>) {
        seats = seats.filter { it.machine.name !in hosts }
    }

    private fun rights(job: Job): Rights {
        val within = job.id in guaranteed
        return Rights(job.spec.priority, within, if (within) job.spec.owner else "", job.suspect)
    }

    private fun mayEvict(job: Job, guaranteed: Boolean, other: Job, use: TeamUse) =
        !other.isGang && JobOrder.mayPreempt(job, guaranteed, other, use)

    private fun evictable(job: Job): Map<String, Room> {
        val w = context.view
        val within = job.id in guaranteed
        val result = HashMap<String, Room>()
        for (s in seats) {
            var room = Room.NONE
            for (other in w.jobsOn(s.machine.name)) {
                val n = when {
                    other.cancelled || mayEvict(job, within, other, use) -> w.countOn(s.machine.name, other.id)
                    other.id in w.halting -> w.on(s.machine.name).count { it.job.id == other.id && it.placed.stopping }
                    else -> 0
                }
                if (n > 0) room += other.spec.need * n
            }
            if (room !== Room.NONE) result[s.machine.name] = room
        }
        return result
    }
}

/** What decides whose tasks a gang may take the place of. */
private data class Rights(val priority: Priority, val guaranteed: Boolean, val owner: String, val suspect: Boolean)
