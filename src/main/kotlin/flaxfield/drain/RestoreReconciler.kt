package flaxfield.drain

import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import flaxfield.jobs.JobTransactions
import flaxfield.jobs.TaskId
import flaxfield.store.Change
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import flaxfield.workers.Heartbeat
import flaxfield.workers.TaskState
import flaxfield.workers.WorkerHealth
import org.slf4j.LoggerFactory

/**
 * The owning part's proofs that lost or drained tasks run again: a report of one of its machines, under the present
 * term and in the session of the record, that shows the task's newer attempt as running. One transaction takes the task
 * off the job's losses and off its team's ledger.
 */
class RestoreReconciler(private val context: ControllerContext, private val health: WorkerHealth) {
    /** Looks at the jobs in [candidates]. */
    fun run(snapshot: FleetSnapshot, candidates: Collection<String>) {
        val term = context.leadership.term() ?: return
        if (!context.leadership.mayAct()) return
        for (id in candidates) {
            val job = snapshot.jobs[id] ?: continue
            if (job.cancelled) continue
            if (!context.transactions.mayWrite(WriteCause.PROOF, 2)) return
            restore(snapshot, job, term)
        }
    }

    private fun restore(snapshot: FleetSnapshot, job: Job, term: ULong) {
        val ledger = snapshot.ledgers[job.spec.team]
        val running = job.allPlaced().filter { p ->
            val stopped = ledger?.entries?.get(TaskId(job.id, p.index))
            val lacking = job.isInterrupted(p.index) || stopped != null && p.attempt > stopped.attempt
            lacking && !p.stopping && ProofOfRunning.canHold(job.id, p, health.known(p.machineName)?.heartbeat, term)
        }.map { it.index }.toList()
        // As many chunks as one transaction holds; the others follow.
        val chunks = running.map {
            it / job.chunkTasks
        }.distinct().take(JobTransactions.maxChunks(context.settings.stateLimits))
        val some = running.filter { it / job.chunkTasks in chunks }
        if (some.isEmpty()) return
        val write = JobTransactions.update(job, job.restore(some), term)
        val freed = some.map { TaskId(job.id, it) }.filter { ledger != null && it in ledger.entries }
        val txn = if (ledger == null || freed.isEmpty()) write else write.alsoFreeing(ledger, freed)
        if (txn.changes.any { context.transactions.isWritePending(it.key) }) return
        context.transactions.submit(WriteCause.PROOF, txn) { outcome ->
            if (outcome is TransactionOutcome.Committed) {
                log.info(
                    "job={} tasks={} term={} run again",
                    job.id,
                    some,
                    term,
                )
            }
        }
    }

    private fun Transaction.alsoFreeing(ledger: Ledger, freed: List<TaskId>): Transaction {
        val key = FleetKeys.LEDGER + ledger.team
        val next = ledger.copy(entries = ledger.entries - freed.toSet())
        return Transaction(conditions + (key to ledger.version), changes + Change.Put(key, DrainCodec.encode(next)))
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.drain")
    }
}

/** Pure: whether a report proves that a task runs where its record says. */
object ProofOfRunning {
    /** Whether [heartbeat], under [term], shows the attempt of [placed] as running. */
    fun canHold(job: String, placed: flaxfield.jobs.Placement, heartbeat: Heartbeat?, term: ULong): Boolean =
        heartbeat != null &&
            heartbeat.machineName == placed.machineName &&
            heartbeat.fencingToken == term &&
            heartbeat.incarnation == placed.incarnation &&
            heartbeat.tasks.any {
                it.job == job &&
                    it.index == placed.index &&
                    it.attempt == placed.attempt.toULong() &&
                    it.state == TaskState.RUNNING
            }
}
