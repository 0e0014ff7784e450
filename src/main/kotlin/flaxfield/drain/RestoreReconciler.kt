package flaxfield.drain

import flaxfield.jobs.Job
import flaxfield.jobs.TaskCompletion
import flaxfield.node.NodeContext
import flaxfield.store.Cause
import flaxfield.store.Change
import flaxfield.store.Outcome
import flaxfield.store.Txn
import flaxfield.workers.Report
import flaxfield.workers.TaskState
import flaxfield.workers.WorkerHealth
import org.slf4j.LoggerFactory

/**
 * The owning part's proofs that lost or drained tasks run again: a report of one of its machines, under the present
 * term and in the session of the record, that shows the task's newer attempt as running. One transaction takes the task
 * off the job's losses and off its team's ledger.
 */
class RestoreReconciler(private val context: NodeContext, private val health: WorkerHealth) {
    /** Looks at the jobs in [candidates]. */
    fun run(snapshot: FleetSnapshot, candidates: Collection<String>) {
        val term = context.term() ?: return
        if (!context.mayDecide()) return
        for (id in candidates) {
            val job = snapshot.jobs[id] ?: continue
            if (job.cancelled) continue
            if (!context.maySpend(Cause.PROOF, 2)) return
            restore(snapshot, job, term)
        }
    }

    private fun restore(snapshot: FleetSnapshot, job: Job, term: ULong) {
        val ledger = snapshot.ledgers[job.spec.owner]
        val running = job.allPlaced().filter { p ->
            val stopped = ledger?.entries?.get(TaskId(job.id, p.index))
            val lacking = job.isInterrupted(p.index) || stopped != null && p.attempt > stopped.attempt
            lacking && !p.stopping && ProofOfRunning.holds(job.id, p, health.known(p.host)?.report, term)
        }.map { it.index }.toList()
        // As many chunks as one transaction holds; the others follow.
        val chunks = running.map {
            it / job.chunkTasks
        }.distinct().take(TaskCompletion.chunksAtOnce(context.settings.stateLimits))
        val some = running.filter { it / job.chunkTasks in chunks }
        if (some.isEmpty()) return
        val write = TaskCompletion.write(job, job.restore(some), term)
        val freed = some.map { TaskId(job.id, it) }.filter { ledger != null && it in ledger.entries }
        val txn = if (ledger == null || freed.isEmpty()) write else write.alsoFreeing(ledger, freed)
        if (txn.changes.any { context.isBusy(it.key) }) return
        context.commit(Cause.PROOF, txn) { outcome ->
            if (outcome is Outcome.Committed) log.info("job={} tasks={} term={} run again", job.id, some, term)
        }
    }

    private fun Txn.alsoFreeing(ledger: Ledger, freed: List<TaskId>): Txn {
        val key = FleetKeys.LEDGER + ledger.team
        val next = ledger.copy(entries = ledger.entries - freed.toSet())
        return Txn(conditions + (key to ledger.version), changes + Change.Put(key, DrainCodec.encode(next)))
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.drain")
    }
}

/** Pure: whether a report proves that a task runs where its record says. */
object ProofOfRunning {
    /** Whether [report], under [term], shows the attempt of [placed] as running. */
    fun holds(job: String, placed: flaxfield.jobs.Placed, report: Report?, term: ULong): Boolean = report != null &&
        report.host == placed.host &&
        report.epoch == term &&
        report.session == placed.session &&
        report.tasks.any {
            it.job == job &&
                it.index == placed.index &&
                it.attempt == placed.attempt.toULong() &&
                it.state == TaskState.RUNNING
        }
}
