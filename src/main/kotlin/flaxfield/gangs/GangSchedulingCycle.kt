package flaxfield.gangs

import flaxfield.arrays.MachineHealth
import flaxfield.arrays.MachineStatus
import flaxfield.arrays.PlacementCandidate
import flaxfield.controller.ControllerContext
import flaxfield.fleet.Machine
import flaxfield.jobs.Job
import flaxfield.jobs.Priority
import flaxfield.jobs.Resources
import flaxfield.quota.JobOrder
import flaxfield.quota.TeamUsage

/** What one run of the gang scheduler looks at, and what it has found out on the way. */
class GangSchedulingCycle(
    private val context: ControllerContext,
    var candidates: List<PlacementCandidate>,
    val use: TeamUsage,
    val guaranteed: Set<String>,
    val term: ULong,
) {
    /** Rounds that are known to be short. */
    val known = InfeasibleShapes()
    private val evictable = HashMap<Rights, Map<String, Resources>>()

    /** Machines that carry gangs now, with what their owners tell of them. */
    val busyWithGangs: List<Pair<Machine, MachineStatus>> by lazy(LazyThreadSafetyMode.NONE) {
        val w = context.view
        w.machines.values.filter { m -> m.takesWork && w.jobsOn(m.name).any { it.isGang } }
            .mapNotNull { m -> w.machineStatus(m.name)?.takeIf { it.state == MachineHealth.OK }?.let { m to it } }
    }

    /** The round of [job] on the seats as they are. */
    fun plain(job: Job): GangPlacementResult = known.run(job, "") { candidates }

    /** The seats as they would be without the tasks that this gang may take the place of. */
    fun cleared(job: Job): List<PlacementCandidate> {
        val room = evictable.getOrPut(rights(job)) { evictable(job) }
        return candidates.map { s ->
            room[s.machine.name]?.let { PlacementCandidate(s.machine, s.incarnation, s.free + it, s.images, s.empty) }
                ?: s.copy()
        }
    }

    /** The round of [job] once others have made way for it. */
    fun afterEviction(job: Job): GangPlacementResult = known.run(job, rights(job).toString()) { cleared(job) }

    /** A machine carries one claim at a time. */
    fun claimed(hosts: Set<String>) {
        candidates = candidates.filter { it.machine.name !in hosts }
    }

    private fun rights(job: Job): Rights {
        val within = job.id in guaranteed
        return Rights(job.spec.priority, within, if (within) job.spec.team else "", job.isSuspect)
    }

    private fun mayEvict(job: Job, guaranteed: Boolean, other: Job, use: TeamUsage) =
        !other.isGang && JobOrder.mayPreempt(job, guaranteed, other, use)

    private fun evictable(job: Job): Map<String, Resources> {
        val w = context.view
        val within = job.id in guaranteed
        val result = HashMap<String, Resources>()
        for (s in candidates) {
            var room = Resources.NONE
            for (other in w.jobsOn(s.machine.name)) {
                val n = when {
                    other.cancelled || mayEvict(job, within, other, use) -> w.countOn(s.machine.name, other.id)
                    other.id in w.halting -> w.on(s.machine.name).count { it.job.id == other.id && it.placed.stopping }
                    else -> 0
                }
                if (n > 0) room += other.spec.taskResources * n
            }
            if (room !== Resources.NONE) result[s.machine.name] = room
        }
        return result
    }
}

/** What decides whose tasks a gang may take the place of. */
private data class Rights(val priority: Priority, val guaranteed: Boolean, val owner: String, val isSuspect: Boolean)
