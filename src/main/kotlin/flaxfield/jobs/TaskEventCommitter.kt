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
 *
 * One run looks at a limited number of events, and the next one goes on from there. Each transaction that it sends
 * lasts: a run that ends early, or a new term, repeats none of those that are in the view.
 */
class TaskEventCommitter(private val context: ControllerContext) {
    private val pending = LinkedHashMap<String, PendingTaskEvents>()
    private val sweeper = FinishedJobSweeper(context)
    private val maxChunks = JobTransactions.maxChunks(context.settings.stateLimits)

    /** The job at which the next run starts; null if the last run looked at all jobs. */
    private var nextJob: String? = null

    /** The number of events that are not known to be committed, possibly with some that no longer apply. */
    val pendingCount: Int get() = pending.values.sumOf { it.count }

    /** Adds an event; a repeated one replaces the first. An event of a job that is not in the view has no effect. */
    fun add(event: TaskEvent) {
        val job = context.view.jobs[event.job] ?: return
        val events = pending.getOrPut(event.job) { PendingTaskEvents(context.nowNs) }
        if (events.add(event.index / job.chunkTasks, event)) context.decisions.request()
    }

    /** Commits the events that are due, as far as the write budget allows. */
    fun run() {
        val term = context.leadership.term() ?: return
        if (!context.leadership.mayAct()) return
        val anyTaskPending by lazy(LazyThreadSafetyMode.NONE) {
            context.view.jobs.values.any { !it.cancelled && it.pendingCount > 0 }
        }
        commitJobs(term) { anyTaskPending }
        context.stats.pendingTaskEvents = pendingCount
        if (context.leadership.isLeader()) sweeper.run()
    }

    private fun commitJobs(term: ULong, anyTaskPending: () -> Boolean) {
        val order = commitOrder()
        val start = order.indexOf(nextJob).coerceAtLeast(0)
        nextJob = null
        var examined = 0
        for (id in order.drop(start) + order.take(start)) {
            if (examined >= MAX_EVENTS_PER_RUN) {
                nextJob = id
                return context.decisions.request()
            }
            val jobEvents = pending[id] ?: continue
            val ready = readyEvents(id, jobEvents, anyTaskPending) { examined += it } ?: continue
            // If not even the most urgent write is allowed, the rest waits as well.
            if (!context.transactions.mayWrite(WriteCause.FINISH, 1)) return
            if (commit(ready, term)) jobEvents.sinceNs = context.nowNs
        }
    }

    /** Events of [job] that may be committed now, in as many chunks as one transaction may change. */
    private class ReadyEvents(val job: Job, val events: List<TaskEvent>, val urgent: Boolean)

    private fun readyEvents(
        id: String,
        jobEvents: PendingTaskEvents,
        anyTaskPending: () -> Boolean,
        countExamined: (Int) -> Unit,
    ): ReadyEvents? {
        val job = context.view.jobs[id]
        if (job == null) {
            pending.remove(id)
            return null
        }
        if (context.transactions.isWritePending(StoreKeys.JOB + id)) return null
        val events = eventsToCommit(job, jobEvents, countExamined)
        if (jobEvents.isEmpty) pending.remove(id)
        if (events.isEmpty()) return null
        val urgent = isUrgent(job, jobEvents)
        return if (urgent || isBatchDue(jobEvents, anyTaskPending)) ReadyEvents(job, events, urgent) else null
    }

    /**
     * Returns the events of the first chunks that may be written now. Takes as many chunks as one transaction holds; the
     * others follow in later ones. Drops the events there whose attempt is no longer recorded.
     */
    private fun eventsToCommit(job: Job, jobEvents: PendingTaskEvents, countExamined: (Int) -> Unit): List<TaskEvent> {
        val result = ArrayList<TaskEvent>()
        var chunks = 0
        var examined = 0
        for (number in jobEvents.chunks()) {
            if (chunks >= maxChunks || examined >= MAX_EVENTS_PER_RUN) break
            if (context.transactions.isWritePending(StoreKeys.chunk(job.id, number))) continue
            val current = jobEvents.current(number, job)
            examined += current.size + 1
            // Checked at the commit rather than on arrival: a controller inside a lost zone may learn of the loss only
            // after it has received the heartbeats that follow the zone's return.
            val allowed = current.filterNot { context.zones?.mustDefer(it) ?: false }
            if (allowed.isNotEmpty()) chunks++
            result += allowed
        }
        countExamined(examined)
        return result
    }

    /** Returns the jobs with events in commit order: by arrival, or the most urgent first during a zone recovery. */
    private fun commitOrder(): List<String> {
        val zones = context.zones?.takeIf { it.isRecovering } ?: return pending.keys.toList()
        val (inView, removed) = pending.keys.partition { it in context.view.jobs }
        val jobs = inView.mapNotNull { context.view.jobs[it] }
        return zones.sort(jobs, context.scheduling.teamUsage(), overdueBeforeMs = 0).map { it.id } + removed
    }

    /** Whether a restart, a gang, a cancellation or the end of this shard's part of the job depends on this commit. */
    private fun isUrgent(job: Job, events: PendingTaskEvents): Boolean = job.isGang ||
        job.cancelled ||
        events.hasLoss ||
        events.count >= job.placedCount ||
        events.count >= ownedTaskCount(job)

    private fun ownedTaskCount(job: Job): Int =
        context.view.taskCountsOf(job.id).entries.sumOf { (machineName, count) ->
            if (isOwned(machineName)) count else 0
        }

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
    private fun isBatchDue(jobEvents: PendingTaskEvents, anyTaskPending: () -> Boolean): Boolean {
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
        val events = ready.events
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

        /** The number of events after which a run ends; the next one goes on from there. */
        const val MAX_EVENTS_PER_RUN = 4_000

        /** The first retry delay of a job that fails on several machines, in heartbeat intervals; later ones double. */
        const val INITIAL_BACKOFF_HEARTBEATS = 2

        /** How long completions are batched while a pending task waits for their resources, in heartbeat intervals. */
        const val BATCH_HEARTBEATS_IF_PENDING = 0.4

        /** How long completions are batched while no task is pending, in heartbeat intervals. */
        const val BATCH_HEARTBEATS = 1.5
    }
}
