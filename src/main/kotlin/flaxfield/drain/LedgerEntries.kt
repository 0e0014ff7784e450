package flaxfield.drain

import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import flaxfield.jobs.JobTransactions
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/**
 * Frees entries of ledgers whose task is done or whose job has ended. That a task runs again is proven by the owner of
 * its machine, see [RestoreReconciler]. No entry is ever freed by time.
 */
class LedgerEntries(private val context: ControllerContext) {
    /** Frees what [snapshot] shows to have ended. */
    fun settle(snapshot: FleetSnapshot) {
        for (ledger in snapshot.ledgers.values) settle(snapshot, ledger)
    }

    private fun settle(snapshot: FleetSnapshot, ledger: Ledger) {
        val key = FleetKeys.LEDGER + ledger.team
        if (context.transactions.isWritePending(key)) return
        val ended = ledger.entries.keys.filter { ended(snapshot.jobs[it.job], it.index) }
        // Each job is a condition of its own: what this view shows must hold when the entry is freed.
        val jobs = ended.map { it.job }.distinct().take(context.settings.stateLimits.txnOps)
        val freed = ended.filter { it.job in jobs }
        if (freed.isEmpty()) return
        val versions = jobs.associate { StoreKeys.JOB + it to (snapshot.jobs[it]?.version ?: 0uL) }
        val next = ledger.copy(entries = ledger.entries - freed.toSet())
        val txn = Transaction(
            JobTransactions.assignmentFence(context) + versions + (key to ledger.version),
            listOf(Change.Put(key, DrainCodec.encode(next))),
        )
        context.transactions.submit(WriteCause.ROOM, txn) { outcome ->
            if (outcome is TransactionOutcome.Committed) {
                for (t in freed) {
                    log.info(
                        "team={} job={} task={} freed: ended",
                        ledger.team,
                        t.job,
                        t.index,
                    )
                }
            }
        }
    }

    private fun ended(job: Job?, index: Int) = job == null || job.cancelled || job.isDone(index)

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.drain")
    }
}
