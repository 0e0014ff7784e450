package flaxfield.arrays

import flaxfield.fleet.MachinePhase
import flaxfield.node.NodeContext
import flaxfield.quota.JobOrder
import flaxfield.workers.HaltDispatcher

/** Clears machines of this node's part: those that are to be returned, and those claimed for more urgent gangs. */
class MachineDrainer(private val hub: NodeContext, private val stops: HaltDispatcher) {
    fun run(term: ULong) {
        drain(term)
        evict(term)
    }

    /** Machines that are no longer needed: what fills them goes on elsewhere. */
    private fun drain(term: ULong) {
        for (m in hub.mine()) {
            if (m.phase != MachinePhase.DRAINING) continue
            val on = hub.world.on(m.name).filter { !it.placed.stopping && !it.job.isGang }
            for ((id, list) in on.groupBy { it.job.id }) {
                stops.stop(id, list.map { it.placed.index }, term, "${m.name} is to be returned")
            }
        }
    }

    /** Where the leader claims a machine for a more urgent gang, tasks make way as far as the rules allow. */
    private fun evict(term: ULong) {
        val claimed = hub.world.claimed.mapNotNull { hub.world.machines[it] }
            .filter { hub.owns(it) && hub.world.claimOn(it)?.evict ?: false }
        if (claimed.isEmpty()) return
        val use = hub.use()
        val guaranteed = hub.guaranteed()
        for (m in claimed) {
            val claim = m.claim ?: continue
            val gang = hub.world.jobs[claim.job] ?: continue
            var free = hub.world.free(m) ?: continue
            val want = gang.spec.need * claim.tasks
            val on = hub.world.on(m.name)
            for (r in on) if (r.placed.stopping || r.job.cancelled) free += r.job.spec.need
            val victims = on.filter {
                !it.placed.stopping && !it.job.isGang && JobOrder.mayPreempt(gang, gang.id in guaranteed, it.job, use)
            }.sortedWith(compareBy({ it.job.spec.urgency }, { -it.job.submittedMs }))
            val chosen = ArrayList<Pair<String, Int>>()
            for (v in victims) {
                if (free.holds(want)) break
                free += v.job.spec.need
                chosen += v.job.id to v.placed.index
            }
            for ((id, tasks) in chosen.groupBy({ it.first }, { it.second })) {
                stops.stop(id, tasks, term, "room for ${gang.id} on ${m.name}")
            }
        }
    }
}
