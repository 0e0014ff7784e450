package flaxfield.arrays

import flaxfield.controller.ControllerContext
import flaxfield.fleet.MachinePhase
import flaxfield.quota.JobOrder
import flaxfield.store.PlacedTask
import flaxfield.workers.HaltDispatcher

/** Clears machines of this node's part: those that are to be returned, and those claimed for more urgent gangs. */
class MachineDrainer(private val context: ControllerContext, private val stops: HaltDispatcher) {
    fun run(term: ULong) {
        drain(term)
        evict(term)
    }

    /** Machines that are no longer needed: what fills them goes on elsewhere. */
    private fun drain(term: ULong) {
        for (m in context.shards.ownedMachines()) {
            if (m.phase != MachinePhase.DRAINING) continue
            val on = context.view.on(m.name).filter { !it.placed.stopping && !it.job.isGang }
            for ((id, list) in on.groupBy { it.job.id }) {
                stops.stop(id, list.map { it.placed.index }, term, "${m.name} is to be returned")
            }
        }
    }

    /** Where the leader claims a machine for a more urgent gang, tasks make way as far as the rules allow. */
    private fun evict(term: ULong) {
        val claimed = context.view.reservedMachines.mapNotNull { context.view.machines[it] }
            .filter { context.shards.owns(it) && context.view.activeReservation(it)?.evict ?: false }
        if (claimed.isEmpty()) return
        val use = context.scheduling.teamUsage()
        val guaranteed = context.scheduling.guaranteed()
        for (m in claimed) {
            val reservation = m.reservation ?: continue
            val gang = context.view.jobs[reservation.job] ?: continue
            var free = context.view.free(m) ?: continue
            val want = gang.spec.taskResources * reservation.tasks
            val on = context.view.on(m.name)
            for (r in on) if (r.placed.stopping || r.job.cancelled) free += r.job.spec.taskResources
            val victims = on.filter {
                !it.placed.stopping && !it.job.isGang && JobOrder.mayPreempt(gang, gang.id in guaranteed, it.job, use)
            }.sortedWith(EvictionOrder)
            val chosen = ArrayList<Pair<String, Int>>()
            for (v in victims) {
                if (free.canHold(want)) break
                free += v.job.spec.taskResources
                chosen += v.job.id to v.placed.index
            }
            for ((id, tasks) in chosen.groupBy({ it.first }, { it.second })) {
                stops.stop(id, tasks, term, "room for ${gang.id} on ${m.name}")
            }
        }
    }
}

/**
 * Which task makes way first: the least urgent, then one that saves its progress, then the latest. A task that never
 * saves began anew each time: an idle array of three such tasks was at work for six minutes beside arrays that would
 * have lost nothing.
 */
object EvictionOrder : Comparator<PlacedTask> {
    private val order =
        compareBy<PlacedTask>({
            it.job.spec.priority
        }, { it.job.spec.checkpointIntervalS <= 0.0 }, { -it.job.submittedMs })

    override fun compare(a: PlacedTask, b: PlacedTask): Int = order.compare(a, b)
}
