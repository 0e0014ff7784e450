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
 * Commits task events to their jobs' records, and closes jobs that are over. An event is kept until the view shows
 * that the record has moved on. Used by the owner thread only.
 */
class TaskEventCommitter(private val context: ControllerContext) {
    private data class AttemptKey(val index: Int, val attempt: Long)

    /** Events about one job that the view does not show yet, in the order in which they came. */
    private class PendingEvents(var sinceNs: Long) {
        val byAttempt = LinkedHashMap<AttemptKey, TaskEvent>()
    }

    private val pending = LinkedHashMap<String, PendingEvents>()
    private val sweeper = FinishedJobSweeper(context)

    /** Takes an event; a repeated one replaces the first. */
    fun add(event: TaskEvent) {
        val events = pending.getOrPut(event.job) { PendingEvents(context.nowNs) }
        val known = events.byAttempt.put(AttemptKey(event.index, event.attempt), event)
        if (known == null) context.decisions.request()
    }

    /** Sends what may be sent now. */
    fun run() {
        val term = context.leadership.term() ?: return
        if (!context.leadership.mayAct()) return
        val someTaskIsPending by lazy(LazyThreadSafetyMode.NONE) {
            context.view.jobs.values.any { !it.cancelled && it.pendingCount > 0 }
        }
        for (id in commitOrder()) {
            val ready = readyEvents(id) { someTaskIsPending } ?: continue
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

    private fun readyEvents(id: String, someTaskIsPending: () -> Boolean): ReadyEvents? {
        val jobEvents = pending[id] ?: return null
        val job = dropOutdated(id, jobEvents) ?: return null
        // Asked at the commit, not when they come: a controller inside a lost zone may learn of the loss only after
        // the heartbeats of its return.
        val events = jobEvents.byAttempt.values.filterNot { context.zones?.mustDefer(it) ?: false }
        if (events.isEmpty()) return null
        val urgent = isUrgent(job, events)
        return if (urgent || hasGathered(jobEvents, someTaskIsPending)) {
            ReadyEvents(job, jobEvents, events, urgent)
        } else {
            null
        }
    }

    /** Drops events whose attempt is not recorded any more; null if none are left. */
    private fun dropOutdated(id: String, jobEvents: PendingEvents): Job? {
        val job = context.view.jobs[id]
        jobEvents.byAttempt.values.removeIf { job?.placed(it.index)?.attempt != it.attempt }
        if (job != null && jobEvents.byAttempt.isNotEmpty()) return job
        pending.remove(id)
        return null
    }

    /** The jobs with events in the order of their commits: as they came, in a zone recovery the most urgent first. */
    private fun commitOrder(): List<String> {
        val zones = context.zones?.takeIf { it.isRecovering } ?: return pending.keys.toList()
        val (inView, gone) = pending.keys.partition { it in context.view.jobs }
        val jobs = inView.mapNotNull { context.view.jobs[it] }
        return zones.sort(jobs, context.scheduling.teamUsage(), overdueBeforeMs = 0).map { it.id } + gone
    }

    /** Whether something waits for this: a task to start again, a gang, or the end of this shard's share of the job. */
    private fun isUrgent(job: Job, events: List<TaskEvent>): Boolean = job.isGang ||
        job.cancelled ||
        events.any { it is TaskEvent.Lost } ||
        events.size >= job.placedCount ||
        events.size >= job.allPlaced().count { isOwned(it.machineName) }

    private fun isOwned(machineName: String): Boolean =
        context.view.machines[machineName]?.let { context.shards.owns(it) } ?: true

    private fun writeCause(job: Job, events: List<TaskEvent>, urgent: Boolean): WriteCause = when {
        urgent && isSmallIdleArray(job) -> WriteCause.CLOSE
        urgent -> WriteCause.FINISH
        events.size >= JobTransactions.BULK_TASKS -> WriteCause.PROOF
        else -> WriteCause.TRICKLE
    }

    private fun isSmallIdleArray(job: Job): Boolean = !job.isGang &&
        !job.cancelled &&
        job.spec.taskCount < JobTransactions.BULK_TASKS &&
        job.spec.priority == Priority.IDLE

    /** Ends of an array's tasks gather for a while, unless writes are plenty: several of them are one write. */
    private fun hasGathered(jobEvents: PendingEvents, someTaskIsPending: () -> Boolean): Boolean {
        if (context.transactions.budget.hasAmpleWrites(context.nowNs)) return true
        val heartbeats = if (someTaskIsPending()) GATHER_HEARTBEATS_IF_PENDING else GATHER_HEARTBEATS
        val waitNs = (context.settings.workers.heartbeatIntervalS * heartbeats * NANOS_PER_SECOND).toLong()
        val dueNs = jobEvents.sinceNs + waitNs
        if (context.nowNs < dueNs) context.decisions.requestAt(dueNs)
        return context.nowNs >= dueNs
    }

    private fun commit(ready: ReadyEvents, term: ULong): Boolean {
        val job = ready.job
        val cause = writeCause(job, ready.events, ready.urgent)
        if (!context.transactions.mayWrite(cause, 1)) return false
        // As many chunks as one transaction holds; the others follow in the next.
        val chunks = ready.events.mapTo(LinkedHashSet()) { it.index / job.chunkTasks }
            .take(JobTransactions.maxChunks(context.settings.stateLimits))
            .toSet()
        if ((chunks + 0).any { context.transactions.isWritePending(StoreKeys.chunk(job.id, it)) }) return false
        val events = ready.events.filter { it.index / job.chunkTasks in chunks }
        val backoffMs = context.settings.workers.heartbeatIntervalS * BACKOFF_HEARTBEATS * MILLIS_PER_SECOND
        val tracksLosses = context.subsystem != null
        val next = TaskEventRules.apply(job, events, context.nowMs, backoffMs.toLong(), tracksLosses)
        if (next === job) return false
        return context.transactions.submit(cause, transaction(job, next, events, term)) { outcome ->
            if (outcome is TransactionOutcome.Committed) logCommitted(next, events, term)
        }
    }

    private fun transaction(job: Job, next: Job, events: List<TaskEvent>, term: ULong): Transaction {
        if (next.isOver) {
            return JobTransactions.close(context, next, aborted = !next.complete || next.cancelled, fenced = true)
        }
        val update = withZoneFences(JobTransactions.update(job, next, term), job, events)
        val marked = JobTransactions.withLossMark(context, update)
        return if (events.any { it is TaskEvent.Lost }) marked else update
    }

    /** Where a class forbids repeats, a loss of unknown outcome holds only if its zone is as this view has it. */
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
        if (job.isOver) {
            log.info("event=job_over term={} job={} done={} cancelled={}", term, job.id, job.doneCount, job.cancelled)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.jobs")

        /** A job that fails everywhere is retried after this many heartbeat intervals, then after twice as many. */
        const val BACKOFF_HEARTBEATS = 2

        /** Ends gather for so many heartbeat intervals while a pending task waits for their resources, */
        const val GATHER_HEARTBEATS_IF_PENDING = 0.4

        /** and for so many while none does. */
        const val GATHER_HEARTBEATS = 1.5
    }
}
