package flaxfield.drain

import flaxfield.controller.ControllerContext
import flaxfield.fleet.FleetCodec
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.JobTransactions
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.TransactionSize
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/**
 * Commits the actions that [DrainPlanner] plans. Only the leader runs it, on the owner thread. Each action is one
 * transaction, conditional on the term and on the versions in the planner's snapshot: transactions of a former leader
 * and delayed duplicates fail. Workers are asked to stop tasks only once the evictions are committed.
 */
class DrainReconciler(private val context: ControllerContext) {
    private val limits = context.settings.stateLimits
    private val ledgerReleaser = LedgerReleaser(context)
    private val finishedDrainCleaner = FinishedDrainCleaner(context)

    /** Plans from [snapshot] and submits as many actions as the write budget allows. */
    fun run(snapshot: FleetSnapshot) {
        val term = context.leadership.term() ?: return
        if (snapshot.ledgers.values.any { it.entries.isNotEmpty() }) ledgerReleaser.releaseFinished(snapshot)
        if (snapshot.drains.isEmpty()) return
        for (action in DrainPlanner(snapshot, LedgerLimits.maxEntries(limits)).plan().actions) {
            if (!context.transactions.mayWrite(WriteCause.FLEET, 1)) return
            when (action) {
                is DrainAction.SetTarget -> setTarget(action)
                is DrainAction.Cordon -> cordon(action, term)
                is DrainAction.Evict -> evict(snapshot, action, term)
                is DrainAction.Retire -> retire(action, term)
                is DrainAction.Uncordon -> uncordon(action, term)
                is DrainAction.Finish -> write(action.drain.copy(phase = action.phase))
            }
        }
        finishedDrainCleaner.deleteOldest(snapshot)
    }

    private fun setTarget(action: DrainAction.SetTarget) {
        val drain = action.drain
        if (action.target > 0) return write(drain.copy(target = action.target))
        write(drain.copy(target = 0, phase = DrainPhase.FAILED, note = "no schedulable machine matches the selector"))
    }

    private fun write(drain: DrainRecord) {
        val key = FleetKeys.DRAIN + drain.id
        if (context.transactions.isWritePending(key)) return
        val transaction = Transaction(
            JobTransactions.assignmentFence(context) + (key to drain.version),
            listOf(Change.Put(key, DrainCodec.encode(drain))),
        )
        context.transactions.submit(WriteCause.FLEET, transaction) { outcome ->
            if (outcome is TransactionOutcome.Committed) {
                log.info(
                    "event=drain_updated drain={} phase={} target={} reason=\"{}\"",
                    drain.id,
                    drain.phase,
                    drain.target,
                    drain.note,
                )
            }
        }
    }

    /** Cordons machines and adds them to the drain's count of cordoned machines in the same transaction. */
    private fun cordon(action: DrainAction.Cordon, term: ULong) {
        val key = FleetKeys.DRAIN + action.drain.id
        if (context.transactions.isWritePending(key)) return
        val machines = writable(action.machines, limits.txnOps - 1)
        if (machines.isEmpty()) return
        val drain = action.drain.copy(cordoned = action.drain.cordoned + machines.size)
        val cordons = machines.map { put(it.copy(cordon = drain.id, reservation = null)) }
        val changes = listOf(Change.Put(key, DrainCodec.encode(drain))) + cordons
        commit(action.drain, machines, changes, "machine_cordoned", term)
    }

    private fun retire(action: DrainAction.Retire, term: ULong) {
        val machines = writable(action.machines, limits.txnOps)
        if (machines.isEmpty()) return
        val changes = machines.map { put(it.copy(phase = MachinePhase.DRAINING)) }
        commit(action.drain, machines, changes, "machine_retired", term)
    }

    private fun uncordon(action: DrainAction.Uncordon, term: ULong) {
        val machines = writable(action.machines, limits.txnOps)
        if (machines.isEmpty()) return
        commit(action.drain, machines, machines.map { put(it.copy(cordon = null)) }, "machine_uncordoned", term)
    }

    /** Returns the [machines] without a pending write, as many as a bulk transaction of [maxChanges] takes now. */
    private fun writable(machines: List<Machine>, maxChanges: Int): List<Machine> = machines
        .filter { !context.transactions.isWritePending(StoreKeys.MACHINE + it.name) }
        .take(context.transactions.budget.maxBulkChanges(maxChanges))

    private fun put(machine: Machine) = Change.Put(StoreKeys.MACHINE + machine.name, FleetCodec.encode(machine))

    /** Submits [changes] of [machines] and, once they are committed, logs [event] for each machine. */
    private fun commit(
        drain: DrainRecord,
        machines: List<Machine>,
        changes: List<Change>,
        event: String,
        term: ULong,
    ) {
        val conditions = JobTransactions.assignmentFence(context) +
            (FleetKeys.DRAIN + drain.id to drain.version) +
            machines.associate { StoreKeys.MACHINE + it.name to it.version }
        context.transactions.submit(WriteCause.FLEET, Transaction(conditions, changes)) { outcome ->
            if (outcome is TransactionOutcome.Committed) {
                for (machine in machines) {
                    log.info("event={} drain={} machine={} term={}", event, drain.id, machine.name, term)
                }
            }
        }
    }

    /** Evicts as many units as one transaction holds and charges each of their tasks to its team's ledger. */
    private fun evict(snapshot: FleetSnapshot, action: DrainAction.Evict, term: ULong) {
        var units = action.units
        while (units.isNotEmpty()) {
            val transaction = EvictionTransaction(snapshot, term).build(action.drain, action.machines, units)
            if (TransactionSize.violation(transaction, limits) == null) {
                if (transaction.changes.any { context.transactions.isWritePending(it.key) }) return
                return submitEviction(action, units, transaction, term)
            }
            // Halves the batch down to a single unit: the first unit may be larger than all others together.
            units = units.take(units.size / 2)
        }
        log.error("event=eviction_too_large drain={} machines={}", action.drain.id, names(action))
    }

    private fun submitEviction(
        action: DrainAction.Evict,
        units: List<DisruptionUnit>,
        transaction: Transaction,
        term: ULong,
    ) {
        context.transactions.submit(WriteCause.GANG, transaction) { outcome ->
            if (outcome is TransactionOutcome.Committed) {
                logEvicted(action, units, term)
            } else {
                log.debug(
                    "event=eviction_not_committed drain={} machines={} outcome={}",
                    action.drain.id,
                    names(action),
                    outcome,
                )
            }
        }
    }

    private fun logEvicted(action: DrainAction.Evict, units: List<DisruptionUnit>, term: ULong) {
        for (unit in units) {
            log.info(
                "event=tasks_evicted drain={} machines={} job={} tasks={} team={} term={}",
                action.drain.id,
                names(action),
                unit.job.id,
                unit.tasks,
                unit.team,
                term,
            )
        }
    }

    private fun names(action: DrainAction.Evict) = action.machines.map { it.name }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.drain")
    }
}
