package flaxfield.zones

import flaxfield.NANOS_PER_SECOND
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.TaskCompletion
import flaxfield.node.NodeContext
import flaxfield.store.Cause
import flaxfield.store.Change
import flaxfield.store.Outcome
import flaxfield.store.StoreKeys
import flaxfield.store.Txn
import org.slf4j.LoggerFactory

/**
 * The leader's watch over the zones: it alone writes their records, under its term and on the version that it knows.
 * Whatever is needed to go on is in the records, so that the next leader goes on where this one ended.
 */
class ZoneReconciler(private val context: NodeContext) {
    private val health = ZoneHealth(ZoneTimes(context.settings.workers.leaseS))
    private val gapNs = (context.settings.workers.reportS * GAP_REPORTS * NANOS_PER_SECOND).toLong()
    private val freshNs = (context.settings.workers.reportS * FRESH_REPORTS * NANOS_PER_SECOND).toLong()
    private var nextNs = 0L

    /** Looks at the evidence in the view and writes what follows from it. */
    fun tick() {
        if (context.nowNs < nextNs || !context.leads()) return
        nextNs = context.nowNs + gapNs
        // On a view that stands still every zone seems as it was.
        if (!context.knowledge.within(freshNs, context.nowNs)) return
        val view = context.view
        val members = view.assignment?.members.orEmpty().map { it.name }
        val evidence = ZoneEvidence.of(members, view.hearings()) ?: return
        val machines = view.machines.values.filter {
            it.phase != MachinePhase.RETIRING
        }.groupingBy { it.zone }.eachCount()
        for (next in health.next(view.zones, evidence, machines, context.nowMs)) write(next, evidence[next.zone])
    }

    private fun write(next: ZoneRecord, evidence: ZoneEvidence?) {
        val key = StoreKeys.ZONE + next.zone
        if (context.isBusy(key)) return
        val conditions = TaskCompletion.fence(context) + (key to next.version)
        val term = context.term()
        context.commit(Cause.FLEET, Txn(conditions, listOf(Change.Put(key, ZoneCodec.encode(next))))) { outcome ->
            if (outcome !is Outcome.Committed) return@commit
            log.info(
                "zone={} state={} incarnation={} step={} machines={} expected={} term={}",
                next.zone,
                next.state,
                next.incarnation,
                next.step,
                next.machines,
                evidence?.expected ?: 0,
                term,
            )
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.zones")

        /** How often the evidence is looked at, in report intervals: it changes no faster than reports come. */
        const val GAP_REPORTS = 0.25

        /** How old the view may be, in report intervals, as for the fleet's plans. */
        const val FRESH_REPORTS = 1.5
    }
}
