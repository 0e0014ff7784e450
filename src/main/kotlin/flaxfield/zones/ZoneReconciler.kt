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
 * Reconciles the zones' records with the heartbeat evidence. Only the leader writes them, by compare-and-swap under its
 * term. All state is in the records, so that a new leader continues from the state of the previous one. Confined to
 * the owner thread.
 */
class ZoneReconciler(private val context: ControllerContext) {
    private val stateMachine = ZoneStateMachine(ZoneTimes(context.settings.workers.leaseS))
    private val intervalNs = heartbeatsToNs(INTERVAL_HEARTBEATS)
    private val maxViewAgeNs = heartbeatsToNs(MAX_VIEW_AGE_HEARTBEATS)
    private var nextRunNs = 0L

    /** Reconciles all zones once per interval, and writes the records that change. */
    fun tick() {
        if (context.nowNs < nextRunNs || !context.leadership.isLeader()) return
        nextRunNs = context.nowNs + intervalNs
        // A stale view has no new evidence.
        if (!context.viewFreshness.isWithin(maxViewAgeNs, context.nowNs)) return
        val view = context.view
        val members = view.assignment?.members.orEmpty().map { it.name }
        val evidence = ZoneEvidence.of(members, view.zoneCoverage()) ?: return
        val machines = view.machines.values
            .filter { it.phase != MachinePhase.RETIRING }
            .groupingBy { it.zone }
            .eachCount()
        for (record in stateMachine.next(view.zones, evidence, machines, context.nowMs)) {
            write(record, expectedMachines = evidence[record.zone]?.expectedMachines ?: 0)
        }
    }

    private fun write(record: ZoneRecord, expectedMachines: Int) {
        val key = StoreKeys.ZONE + record.zone
        if (context.transactions.isWritePending(key)) return
        val conditions = JobTransactions.assignmentFence(context) + (key to record.version)
        val term = context.leadership.term()
        val transaction = Transaction(conditions, listOf(Change.Put(key, ZoneCodec.encode(record))))
        context.transactions.submit(WriteCause.FLEET, transaction) { outcome ->
            if (outcome !is TransactionOutcome.Committed) return@submit
            log.info(
                "event=zone_state_changed term={} zone={} state={} incarnation={} step={} machines={} " +
                    "expected_machines={}",
                term,
                record.zone,
                record.state,
                record.incarnation,
                record.step,
                record.machines,
                expectedMachines,
            )
        }
    }

    private fun heartbeatsToNs(intervals: Double): Long =
        (context.settings.workers.heartbeatIntervalS * intervals * NANOS_PER_SECOND).toLong()

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.zones")

        /** The interval between runs, in heartbeat intervals. The evidence changes no faster. */
        const val INTERVAL_HEARTBEATS = 0.25

        /** The maximum age of the view, in heartbeat intervals. */
        const val MAX_VIEW_AGE_HEARTBEATS = 1.5
    }
}
