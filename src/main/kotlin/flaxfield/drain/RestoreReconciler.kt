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
 * Records that lost or drained tasks run again. The owner of a machine's shard runs it on the owner thread: a heartbeat
 * under the present term, in the incarnation of the record, that shows the task's newer attempt as running is the
 * proof. One transaction takes the task off the job's losses and off its team's ledger.
 */
class RestoreReconciler(private val context: ControllerContext, private val health: WorkerHealth) {
    /** Looks at the jobs called [candidates] in [snapshot]. */
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
        val tasks = inOneTransaction(job, running)
        if (tasks.isEmpty()) return
        val write = JobTransactions.update(job, job.restore(tasks), term)
        val released = tasks.map { TaskId(job.id, it) }.filter { ledger != null && it in ledger.entries }
        val transaction = if (ledger == null || released.isEmpty()) write else write.alsoReleasing(ledger, released)
        if (transaction.changes.any { context.transactions.isWritePending(it.key) }) return
        context.transactions.submit(WriteCause.PROOF, transaction) { outcome ->
            if (outcome is TransactionOutcome.Committed) {
                log.info("event=tasks_restored job={} tasks={} term={}", job.id, tasks, term)
            }
        }
    }

    /** Whether the task of [placement] counts as unavailable, and is proven to run again. */
    private fun isProven(job: Job, placement: Placement, ledger: Ledger?, term: ULong): Boolean {
        val disruption = ledger?.entries?.get(TaskId(job.id, placement.index))
        val isUnavailable =
            job.isInterrupted(placement.index) || disruption != null && placement.attempt > disruption.attempt
        return isUnavailable &&
            !placement.stopping &&
            RunningTaskProof.isGivenBy(health.workerStateOrNull(placement.machineName)?.heartbeat, job.id, placement, term)
    }

    /** Those of [tasks] whose chunks fit one transaction; the others follow in later runs. */
    private fun inOneTransaction(job: Job, tasks: List<Int>): List<Int> {
        val maxChunks = JobTransactions.maxChunks(context.settings.stateLimits)
        val chunks = tasks.map { it / job.chunkTasks }.distinct().take(maxChunks)
        return tasks.filter { it / job.chunkTasks in chunks }
    }

    private fun Transaction.alsoReleasing(ledger: Ledger, released: List<TaskId>): Transaction {
        val key = FleetKeys.LEDGER + ledger.team
        val remaining = ledger.copy(entries = ledger.entries - released.toSet())
        val put = Change.Put(key, DrainCodec.encode(remaining))
        return Transaction(conditions + (key to ledger.version), changes + put)
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.drain")
    }
}
