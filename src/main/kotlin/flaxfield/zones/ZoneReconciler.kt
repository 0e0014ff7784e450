package flaxfield.zones

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.JobTransactions
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/**
 * The leader's watch over the zones: it alone writes their records, under its term and on the version that it knows.
 * Whatever is needed to go on is in the records, so that the next leader goes on where this one ended.
 */
class ZoneReconciler(private val context: ControllerContext) {
    private val health = ZoneHealth(ZoneTimes(context.settings.workers.leaseS))
    private val gapNs = (context.settings.workers.heartbeatIntervalS * GAP_HEARTBEATS * NANOS_PER_SECOND).toLong()
    private val freshNs = (context.settings.workers.heartbeatIntervalS * FRESH_HEARTBEATS * NANOS_PER_SECOND).toLong()
    private var nextNs = 0L

    /** Looks at the evidence in the view and writes what follows from it. */
    fun tick() {
        if (context.nowNs < nextNs || !context.leadership.isLeader()) return
        nextNs = context.nowNs + gapNs
        // On a view that stands still every zone seems as it was.
        if (!context.viewFreshness.within(freshNs, context.nowNs)) return
        val view = context.view
        val members = view.assignment?.members.orEmpty().map { it.name }
        val evidence = ZoneEvidence.of(members, view.zoneCoverage()) ?: return
        val machines = view.machines.values.filter {
            it.phase != MachinePhase.RETIRING
        }.groupingBy { it.zone }.eachCount()
        for (next in health.next(view.zones, evidence, machines, context.nowMs)) write(next, evidence[next.zone])
    }

    private fun write(next: ZoneRecord, evidence: ZoneEvidence?) {
        val key = StoreKeys.ZONE + next.zone
        if (context.transactions.isWritePending(key)) return
        val conditions = JobTransactions.assignmentFence(context) + (key to next.version)
        val term = context.leadership.term()
        context.transactions.submit(
            WriteCause.FLEET,
            Transaction(conditions, listOf(Change.Put(key, ZoneCodec.encode(next)))),
        ) { outcome ->
            if (outcome !is TransactionOutcome.Committed) return@submit
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
        const val GAP_HEARTBEATS = 0.25

        /** How old the view may be, in report intervals, as for the fleet's plans. */
        const val FRESH_HEARTBEATS = 1.5
    }
}
