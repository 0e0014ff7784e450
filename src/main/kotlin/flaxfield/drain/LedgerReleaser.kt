package flaxfield.drain

import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import flaxfield.jobs.JobTransactions
import flaxfield.jobs.TaskId
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/**
 * Releases ledger entries whose task is done, or whose job is cancelled or deleted. [RestoreReconciler] releases the
 * entries of tasks that run again. Entries never expire.
 */
class LedgerReleaser(private val context: ControllerContext) {
    /** Releases the entries of tasks that have ended in [snapshot], with one transaction per ledger. */
    fun releaseFinished(snapshot: FleetSnapshot) {
        for (ledger in snapshot.ledgers.values) release(snapshot, ledger)
    }

    private fun release(snapshot: FleetSnapshot, ledger: Ledger) {
        val key = FleetKeys.LEDGER + ledger.team
        if (context.transactions.isWritePending(key)) return
        val ended = ledger.entries.keys.filter { hasEnded(snapshot.jobs[it.job], it.index) }
        // The transaction is conditional on each job's version: the task must still have ended when it commits.
        val jobs = ended.map { it.job }.distinct().take(context.settings.stateLimits.txnOps)
        val released = ended.filter { it.job in jobs }
        if (released.isEmpty()) return
        val versions = jobs.associate { StoreKeys.JOB + it to (snapshot.jobs[it]?.version ?: 0uL) }
        val remaining = ledger.copy(entries = ledger.entries - released.toSet())
        val transaction = Transaction(
            JobTransactions.assignmentFence(context) + versions + (key to ledger.version),
            listOf(Change.Put(key, DrainCodec.encode(remaining))),
        )
        context.transactions.submit(WriteCause.ROOM, transaction) { outcome ->
            if (outcome is TransactionOutcome.Committed) logReleased(ledger.team, released)
        }
    }

    private fun logReleased(team: String, released: List<TaskId>) {
        for (task in released) {
            log.info("event=ledger_entry_released team={} job={} task={} reason=ended", team, task.job, task.index)
        }
    }

    private fun hasEnded(job: Job?, index: Int) = job == null || job.cancelled || job.isDone(index)

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.drain")
    }
}
