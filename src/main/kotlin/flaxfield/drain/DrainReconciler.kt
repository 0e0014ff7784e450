package flaxfield.drain

import flaxfield.BYTES_PER_KIB
import flaxfield.controller.ControllerContext
import flaxfield.fleet.FleetCodec
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.Job
import flaxfield.jobs.JobTransactions
import flaxfield.jobs.TaskId
import flaxfield.settings.StateLimits
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.TransactionSize
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/**
 * The leader's part of all drains: commits what [DrainPlanner] plans. Each action is one transaction that holds only
 * under this term and the versions that the plan was made on, so that neither an earlier leader nor a late copy of a
 * transaction can add to it. Halts follow from the records, after the commit.
 */
class DrainReconciler(private val context: ControllerContext) {
    private val limits = context.settings.stateLimits
    private val entries = LedgerEntries(context)

    /** Plans on [snapshot] and sends what can be sent now. */
    fun run(snapshot: FleetSnapshot) {
        val term = context.leadership.term() ?: return
        if (snapshot.ledgers.values.any { it.entries.isNotEmpty() }) entries.settle(snapshot)
        if (snapshot.drains.isEmpty()) return
        for (action in DrainPlanner(snapshot, mostEntries(limits)).plan().actions) {
            if (!context.transactions.mayWrite(WriteCause.FLEET, 1)) return
            when (action) {
                is DrainAction.Count -> counted(action)
                is DrainAction.Cordon -> cordon(action, term)
                is DrainAction.Step -> step(snapshot, action, term)
                is DrainAction.Retire -> retire(action, term)
                is DrainAction.Uncordon -> uncordon(action, term)
                is DrainAction.Finish -> write(action.drain.copy(phase = action.phase))
            }
        }
        forgetOld(snapshot)
    }

    private fun counted(action: DrainAction.Count) {
        val drain = action.drain
        if (action.target > 0) return write(drain.copy(target = action.target))
        write(drain.copy(target = 0, phase = DrainPhase.FAILED, note = "no machine fits that no other drain has"))
    }

    private fun write(drain: DrainRecord) {
        val key = FleetKeys.DRAIN + drain.id
        if (context.transactions.isWritePending(key)) return
        val txn =
            Transaction(
                JobTransactions.assignmentFence(context) + (key to drain.version),
                listOf(Change.Put(key, DrainCodec.encode(drain))),
            )
        context.transactions.submit(WriteCause.FLEET, txn) { outcome ->
            if (outcome is TransactionOutcome.Committed) {
                log.info(
                    "drain={} phase={} target={} {}",
                    drain.id,
                    drain.phase,
                    drain.target,
                    drain.note,
                )
            }
        }
    }

    /** The drain's record counts what it has taken, in the same transaction. */
    private fun cordon(action: DrainAction.Cordon, term: ULong) {
        val key = FleetKeys.DRAIN + action.drain.id
        if (context.transactions.isWritePending(key)) return
        val some = idle(action.machines).take(context.transactions.budget.bulk(limits.txnOps - 1))
        if (some.isEmpty()) return
        val drain = action.drain.copy(cordoned = action.drain.cordoned + some.size)
        val changes =
            listOf(Change.Put(key, DrainCodec.encode(drain))) +
                some.map { put(it.copy(cordon = drain.id, reservation = null)) }
        commit(action.drain, some, changes) {
            for (m in some) log.info("drain={} machine={} term={} takes no new work", drain.id, m.name, term)
        }
    }

    private fun retire(action: DrainAction.Retire, term: ULong) {
        val some = idle(action.machines).take(context.transactions.budget.bulk(limits.txnOps))
        if (some.isEmpty()) return
        commit(action.drain, some, some.map { put(it.copy(phase = MachinePhase.DRAINING)) }) {
            for (m in some) {
                log.info(
                    "drain={} machine={} term={} is empty, to be returned",
                    action.drain.id,
                    m.name,
                    term,
                )
            }
        }
    }

    private fun uncordon(action: DrainAction.Uncordon, term: ULong) {
        val some = idle(action.machines).take(context.transactions.budget.bulk(limits.txnOps))
        if (some.isEmpty()) return
        commit(action.drain, some, some.map { put(it.copy(cordon = null)) }) {
            for (m in some) log.info("drain={} machine={} term={} takes new work again", action.drain.id, m.name, term)
        }
    }

    private fun idle(machines: List<Machine>) = machines.filter {
        !context.transactions.isWritePending(
            StoreKeys.MACHINE + it.name,
        )
    }

    private fun put(machine: Machine) = Change.Put(StoreKeys.MACHINE + machine.name, FleetCodec.encode(machine))

    private fun commit(drain: DrainRecord, machines: List<Machine>, changes: List<Change>, done: () -> Unit) {
        val conditions = JobTransactions.assignmentFence(context) +
            (FleetKeys.DRAIN + drain.id to drain.version) +
            machines.associate { StoreKeys.MACHINE + it.name to it.version }
        context.transactions.submit(WriteCause.FLEET, Transaction(conditions, changes)) {
            if (it is TransactionOutcome.Committed) done()
        }
    }

    /** Stops as many units as one transaction holds, and charges each of their tasks to its team's ledger. */
    private fun step(snapshot: FleetSnapshot, action: DrainAction.Step, term: ULong) {
        var units = action.units
        while (units.isNotEmpty()) {
            val txn = DrainSteps(snapshot, term).transaction(action.drain, action.machines, units)
            if (TransactionSize.fault(txn, limits) != null) {
                // The first of two units may be as large as both; the last halving leaves one.
                units = units.take(units.size / 2)
                continue
            }
            if (txn.changes.any { context.transactions.isWritePending(it.key) }) return
            send(action, units, txn, term)
            return
        }
        log.error("drain={} machines={} nothing on them fits one transaction", action.drain.id, names(action))
    }

    private fun send(action: DrainAction.Step, units: List<DisruptionUnit>, txn: Transaction, term: ULong) {
        context.transactions.submit(WriteCause.GANG, txn) { outcome ->
            if (outcome !is TransactionOutcome.Committed) {
                log.debug("drain={} machines={} step outcome={}", action.drain.id, names(action), outcome)
                return@submit
            }
            for (u in units) {
                log.info(
                    "drain={} machines={} job={} tasks={} team={} term={} charged, to stop",
                    action.drain.id,
                    names(action),
                    u.job.id,
                    u.tasks,
                    u.team,
                    term,
                )
            }
        }
    }

    private fun names(action: DrainAction.Step) = action.machines.map { it.name }

    /** Drains that are over are kept for a while, the latest of them. */
    private fun forgetOld(snapshot: FleetSnapshot) {
        val over = snapshot.drains.values.filter { it.phase.isOver }
        if (over.size <= KEPT_DRAINS) return
        val old = over.sortedBy { it.orderedMs }.take(minOf(over.size - KEPT_DRAINS, limits.txnOps))
            .filter { !context.transactions.isWritePending(FleetKeys.DRAIN + it.id) }
        if (old.isEmpty()) return
        val conditions =
            JobTransactions.assignmentFence(context) + old.associate { FleetKeys.DRAIN + it.id to it.version }
        context.transactions.submit(
            WriteCause.ROOM,
            Transaction(
                conditions,
                old.map {
                    Change.Delete(
                        FleetKeys.DRAIN + it.id,
                    )
                },
            ),
        )
    }

    companion object {
        private val log = LoggerFactory.getLogger("flaxfield.drain")

        /** Records of drains that are over: enough for an operator to look back on some months of replacements. */
        private const val KEPT_DRAINS = 100

        /** What an entry of a ledger takes as the state service counts it: job, task, attempt and drain. */
        private const val ENTRY_BYTES = 80

        /** The part of a value that entries may fill. */
        private const val FILL = 0.75

        /** How many disrupted tasks of one team fit one value. */
        fun mostEntries(limits: StateLimits): Int =
            (limits.valueKb * BYTES_PER_KIB * FILL / ENTRY_BYTES).toInt().coerceAtLeast(1)
    }
}

/** Builds the transaction of one step. Pure: the same snapshot gives the same transaction. */
class DrainSteps(private val snapshot: FleetSnapshot, private val term: ULong) {
    /**
     * Stops [units] and charges them. Its conditions are the term, the drain's record, the ledgers of the teams, the
     * loss mark of each member, the job records and the machines: a charge of another drain, a loss, or an operator's
     * pause committed in between makes all of it fail.
     */
    fun transaction(drain: DrainRecord, machines: List<Machine>, units: List<DisruptionUnit>): Transaction {
        val conditions = HashMap<String, ULong>()
        val changes = ArrayList<Change>()
        conditions[StoreKeys.ASSIGNMENT] = term
        conditions[FleetKeys.DRAIN + drain.id] = drain.version
        for (m in machines) conditions[StoreKeys.MACHINE + m.name] = m.version
        for (member in snapshot.assignment?.members.orEmpty()) {
            conditions[FleetKeys.LOSS + member.name] = snapshot.lossMarks[member.name] ?: 0uL
        }
        for ((id, list) in units.groupBy { it.job.id }) {
            val job = snapshot.jobs[id] ?: continue
            val stop = JobTransactions.update(job, job.stop(running(job, list)), term)
            conditions += stop.conditions
            changes += stop.changes
        }
        for ((team, list) in units.groupBy { it.team }) {
            val ledger = snapshot.ledgers[team] ?: Ledger(team, emptyMap(), 0uL)
            val charged = list.flatMap { u -> running(u.job, listOf(u)).map { entry(drain, u.job, it) } }
            val key = FleetKeys.LEDGER + team
            conditions[key] = ledger.version
            changes += Change.Put(key, DrainCodec.encode(ledger.copy(entries = ledger.entries + charged)))
        }
        return Transaction(conditions, changes)
    }

    private fun running(job: Job, units: List<DisruptionUnit>) = units.flatMap { it.tasks }.filter {
        job.placed(it)?.stopping ==
            false
    }

    private fun entry(drain: DrainRecord, job: Job, index: Int) =
        TaskId(job.id, index) to Disruption(job.placed(index)?.attempt ?: 0L, drain.id)
}
