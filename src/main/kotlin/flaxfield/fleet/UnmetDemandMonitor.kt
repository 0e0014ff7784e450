package flaxfield.fleet

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import org.slf4j.LoggerFactory

/**
 * Reports the waiting jobs for which the capacity plan finds neither a machine nor an offer of the cloud. Confined to
 * the owner thread; only the leader uses it.
 */
class UnmetDemandMonitor(private val context: ControllerContext) {
    private class Spell(val sinceNs: Long) {
        var isLogged = false
    }

    private val spells = HashMap<String, Spell>()

    /** Records the [unmet] demands of the latest plan, and logs each job once that has been among them for a while. */
    fun update(unmet: List<UnmetDemand>) {
        val waiting = unmet.filter { (context.view.jobs[it.job]?.pendingCount ?: 0) > 0 }
        spells.keys.retainAll(waiting.mapTo(HashSet()) { it.job })
        context.stats.unmetDemands = waiting.size
        for (demand in waiting) {
            val spell = spells.getOrPut(demand.job) { Spell(context.nowNs) }
            if (spell.isLogged || context.nowNs - spell.sinceNs < LOG_AFTER_S * NANOS_PER_SECOND) continue
            spell.isLogged = true
            log.info(
                "event=demand_unmet term={} job={} tasks={} zone={} reason=no_machine_and_no_offer",
                context.leadership.term(),
                demand.job,
                demand.tasks,
                demand.zone ?: "any",
            )
        }
    }

    /** Discards all state; called when this process is no longer the leader. */
    fun reset() = update(emptyList())

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.fleet")

        /** Shorter spells are usual: an offer that the cloud has refused is requested again after a delay. */
        const val LOG_AFTER_S = 15.0
    }
}
