package flaxfield.jobs

import flaxfield.MILLIS_PER_SECOND
import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/**
 * Commits task events to their jobs' records, and closes finished jobs. An event is retained until the view shows that
 * its attempt is no longer recorded. Used by the owner thread only.
 */
class TaskEventCommitter(private val context: ControllerContext) {
    private data class AttemptKey(val index: Int, val attempt: Long)

    /** Events of one job that the view does not show yet, in order of arrival. */
    private class PendingEvents(var sinceNs: Long) {
        val byAttempt = LinkedHashMap<AttemptKey, TaskEvent>()
    }

    private val pending = LinkedHashMap<String, PendingEvents>()
    private val sweeper = FinishedJobSweeper(context)

    /** Adds an event; a repeated one replaces the first. */
    fun add(event: TaskEvent) {
        val events = pending.getOrPut(event.job) { PendingEvents(context.nowNs) }
        val known = events.byAttempt.put(AttemptKey(event.index, event.attempt), event)
        if (known == null) context.decisions.request()
    }

    /** Commits the events that are due, as far as the write budget allows. */
    fun run() {
        val term = context.leadership.term() ?: return
        if (!context.leadership.mayAct()) return
        val anyTaskPending by lazy(LazyThreadSafetyMode.NONE) {
            context.view.jobs.values.any { !it.cancelled && it.pendingCount > 0 }
        }
        for (id in commitOrder()) {
            val ready = readyEvents(id) { anyTaskPending } ?: continue
            // If not even the most urgent write is allowed, the rest waits as well.
            if (!context.transactions.mayWrite(WriteCause.FINISH, 1)) break
            if (commit(ready, term)) ready.pending.sinceNs = context.nowNs
        }
        if (context.leadership.isLeader()) sweeper.run()
    }

    /** The part of a job's [pending] events that may be committed now. */
    private class ReadyEvents(
        val job: Job,
        val pending: PendingEvents,
        val events: List<TaskEvent>,
        val urgent: Boolean,
    )

    private fun readyEvents(id: String, anyTaskPending: () -> Boolean): ReadyEvents? {
        val jobEvents = pending[id] ?: return null
        val job = dropStale(id, jobEvents) ?: return null
        // Checked at the commit rather than on arrival: a controller inside a lost zone may learn of the loss only
        // after it has received the heartbeats that follow the zone's return.
        val events = jobEvents.byAttempt.values.filterNot { context.zones?.mustDefer(it) ?: false }
        if (events.isEmpty()) return null
        val urgent = isUrgent(job, events)
        return if (urgent || isBatchDue(jobEvents, anyTaskPending)) {
            ReadyEvents(job, jobEvents, events, urgent)
        } else {
            null
        }
    }

    /** Drops events whose attempt is no longer recorded. Returns the job, or null if no events are left. */
    private fun dropStale(id: String, jobEvents: PendingEvents): Job? {
        val job = context.view.jobs[id]
        jobEvents.byAttempt.values.removeIf { job?.placed(it.index)?.attempt != it.attempt }
        if (job != null && jobEvents.byAttempt.isNotEmpty()) return job
        pending.remove(id)
        return null
    }

    /** Returns the jobs with events in commit order: by arrival, or the most urgent first during a zone recovery. */
    private fun commitOrder(): List<String> {
        val zones = context.zones?.takeIf { it.isRecovering } ?: return pending.keys.toList()
        val (inView, removed) = pending.keys.partition { it in context.view.jobs }
        val jobs = inView.mapNotNull { context.view.jobs[it] }
        return zones.sort(jobs, context.scheduling.teamUsage(), overdueBeforeMs = 0).map { it.id } + removed
    }

    /** Whether a restart, a gang, a cancellation or the end of this shard's part of the job depends on this commit. */
    private fun isUrgent(job: Job, events: List<TaskEvent>): Boolean = job.isGang ||
        job.cancelled ||
        events.any { it is TaskEvent.Lost } ||
        events.size >= job.placedCount ||
        events.size >= job.allPlaced().count { isOwned(it.machineName) }

    private fun isOwned(machineName: String): Boolean =
        context.view.machines[machineName]?.let { context.shards.owns(it) } ?: true

    private fun writeCause(job: Job, events: List<TaskEvent>, urgent: Boolean): WriteCause = when {
        urgent && isSmallIdlePriorityArray(job) -> WriteCause.CLOSE
        urgent -> WriteCause.FINISH
        events.size >= JobTransactions.BULK_TASKS -> WriteCause.PROOF
        else -> WriteCause.TRICKLE
    }

    private fun isSmallIdlePriorityArray(job: Job): Boolean = !job.isGang &&
        !job.cancelled &&
        job.spec.taskCount < JobTransactions.BULK_TASKS &&
        job.spec.priority == Priority.IDLE

    /** Whether to commit completions of an array now: unless writes are plentiful, they are batched for a while. */
    private fun isBatchDue(jobEvents: PendingEvents, anyTaskPending: () -> Boolean): Boolean {
        if (context.transactions.budget.hasAmpleWrites(context.nowNs)) return true
        val heartbeats = if (anyTaskPending()) BATCH_HEARTBEATS_IF_PENDING else BATCH_HEARTBEATS
        val waitNs = (context.settings.workers.heartbeatIntervalS * heartbeats * NANOS_PER_SECOND).toLong()
        val dueNs = jobEvents.sinceNs + waitNs
        if (context.nowNs < dueNs) context.decisions.requestAt(dueNs)
        return context.nowNs >= dueNs
    }

    private fun commit(ready: ReadyEvents, term: ULong): Boolean {
        val job = ready.job
        val cause = writeCause(job, ready.events, ready.urgent)
        if (!context.transactions.mayWrite(cause, 1)) return false
        // Takes as many chunks as one transaction holds; the others follow in later ones.
        val chunks = ready.events.mapTo(LinkedHashSet()) { it.index / job.chunkTasks }
            .take(JobTransactions.maxChunks(context.settings.stateLimits))
            .toSet()
        if ((chunks + 0).any { context.transactions.isWritePending(StoreKeys.chunk(job.id, it)) }) return false
        val events = ready.events.filter { it.index / job.chunkTasks in chunks }
        val backoffMs = context.settings.workers.heartbeatIntervalS * INITIAL_BACKOFF_HEARTBEATS * MILLIS_PER_SECOND
        val tracksLosses = context.subsystem != null
        val next = TaskEventRules.apply(job, events, context.nowMs, backoffMs.toLong(), tracksLosses)
        if (next === job) return false
        return context.transactions.submit(cause, transaction(job, next, events, term)) { outcome ->
            if (outcome is TransactionOutcome.Committed) logCommitted(next, events, term)
        }
    }

    private fun transaction(job: Job, next: Job, events: List<TaskEvent>, term: ULong): Transaction {
        if (next.isFinished) {
            return JobTransactions.close(context, next, aborted = !next.complete || next.cancelled, fenced = true)
        }
        val update = withZoneFences(JobTransactions.update(job, next, term), job, events)
        val marked = JobTransactions.withLossMark(context, update)
        return if (events.any { it is TaskEvent.Lost }) marked else update
    }

    /**
     * Adds the versions of zone records as conditions. If a job's class forbids repeats, a loss of unknown outcome is
     * valid only while the record of its zone is unchanged.
     */
    private fun withZoneFences(transaction: Transaction, job: Job, events: List<TaskEvent>): Transaction {
        val zones = context.zones ?: return transaction
        val fences = zones.fences(job, events).associateWith { context.view.version(it) }
        return transaction.copy(conditions = transaction.conditions + fences)
    }

    private fun logCommitted(job: Job, events: List<TaskEvent>, term: ULong) {
        for (event in events) {
            when (event) {
                is TaskEvent.Completed ->
                    log.info(
                        "event=task_done term={} job={} task={} attempt={}",
                        term,
                        event.job,
                        event.index,
                        event.attempt,
                    )
                is TaskEvent.Lost -> log.info(
                    "event=task_lost term={} job={} task={} attempt={} machine={} reason={}",
                    term,
                    event.job,
                    event.index,
                    event.attempt,
                    event.machineName,
                    event.reason,
                )
            }
        }
        if (job.isFinished) {
            log.info("event=job_over term={} job={} done={} cancelled={}", term, job.id, job.doneCount, job.cancelled)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.jobs")

        /** The first retry delay of a job that fails on several machines, in heartbeat intervals; later ones double. */
        const val INITIAL_BACKOFF_HEARTBEATS = 2

        /** How long completions are batched while a pending task waits for their resources, in heartbeat intervals. */
        const val BATCH_HEARTBEATS_IF_PENDING = 0.4

        /** How long completions are batched while no task is pending, in heartbeat intervals. */
        const val BATCH_HEARTBEATS = 1.5
    }
}
