package flaxfield.drain

import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import flaxfield.jobs.JobTransactions
import flaxfield.jobs.Placement
import flaxfield.jobs.TaskId
import flaxfield.store.Change
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import flaxfield.workers.WorkerHealth
import org.slf4j.LoggerFactory

/**
 * Records that lost or evicted tasks run again. Each controller runs it on the owner thread, for the machines of its
 * shards. The proof is a heartbeat with the current term and the recorded incarnation that reports the task's new
 * attempt as running. One transaction removes the task from the job's lost tasks and from its team's ledger.
 */
class RestoreReconciler(private val context: ControllerContext, private val health: WorkerHealth) {
    /** Restores the tasks that are proven to run again, for the jobs in [snapshot] with the ids [candidates]. */
    fun run(snapshot: FleetSnapshot, candidates: Collection<String>) {
        val term = context.leadership.term() ?: return
        if (!context.leadership.mayAct()) return
        for (id in candidates) {
            val job = snapshot.jobs[id] ?: continue
            if (job.cancelled) continue
            if (!context.transactions.mayWrite(WriteCause.PROOF, 2)) return
            restore(job, snapshot.ledgers[job.spec.team], term)
        }
    }

    private fun restore(job: Job, ledger: Ledger?, term: ULong) {
        val running = job.allPlaced().filter { isProven(job, it, ledger, term) }.map { it.index }.toList()
        val tasks = limitToOneTransaction(job, running)
        if (tasks.isEmpty()) return
        val write = JobTransactions.update(job, job.restore(tasks), term)
        val released = tasks.map { TaskId(job.id, it) }.filter { ledger != null && it in ledger.entries }
        val transaction = if (ledger == null || released.isEmpty()) write else write.withLedgerRelease(ledger, released)
        if (transaction.changes.any { context.transactions.isWritePending(it.key) }) return
        context.transactions.submit(WriteCause.PROOF, transaction) { outcome ->
            if (outcome is TransactionOutcome.Committed) {
                log.info("event=tasks_restored job={} tasks={} term={}", job.id, tasks, term)
            }
        }
    }

    /** Returns whether the task of [placement] counts as unavailable and is proven to run again. */
    private fun isProven(job: Job, placement: Placement, ledger: Ledger?, term: ULong): Boolean {
        val disruption = ledger?.entries?.get(TaskId(job.id, placement.index))
        val isUnavailable =
            job.isInterrupted(placement.index) || disruption != null && placement.attempt > disruption.attempt
        return isUnavailable &&
            !placement.stopping &&
            RunningTaskProof.isGivenBy(
                health.workerStateOrNull(placement.machineName)?.heartbeat,
                job.id,
                placement,
                term,
            )
    }

    /** Returns the [tasks] whose chunks fit one transaction; the others follow in later runs. */
    private fun limitToOneTransaction(job: Job, tasks: List<Int>): List<Int> {
        val maxChunks = JobTransactions.maxChunks(context.settings.stateLimits)
        val chunks = tasks.map { it / job.chunkTasks }.distinct().take(maxChunks)
        return tasks.filter { it / job.chunkTasks in chunks }
    }

    private fun Transaction.withLedgerRelease(ledger: Ledger, released: List<TaskId>): Transaction {
        val key = FleetKeys.LEDGER + ledger.team
        val remaining = ledger.copy(entries = ledger.entries - released.toSet())
        val put = Change.Put(key, DrainCodec.encode(remaining))
        return Transaction(conditions + (key to ledger.version), changes + put)
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.drain")
    }
}
