package flaxfield.jobs

import flaxfield.MILLIS_PER_SECOND
import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.settings.StateLimits
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/** Commits proofs about tasks to their jobs' records, and closes jobs that are over. */
class TaskEventCommitter(private val context: ControllerContext) {
    /** Proofs about one job that the view does not show yet. */
    private class Proofs(var sinceNs: Long) {
        val events = LinkedHashMap<Pair<Int, Long>, TaskEvent>()
    }

    private val pending = LinkedHashMap<String, Proofs>()

    /** Takes a proof; it is kept until the view shows that the record has moved on. */
    fun add(e: TaskEvent) {
        val known = pending.getOrPut(e.job) { Proofs(context.nowNs) }.events.put(e.index to e.attempt, e)
        if (known == null) context.decisions.request()
    }

    /** Sends what can be sent now. */
    fun run() {
        val term = context.leadership.term() ?: return
        if (!context.leadership.mayAct()) return
        val wanted by lazy(LazyThreadSafetyMode.NONE) {
            context.view.jobs.values.any {
                !it.cancelled &&
                    it.pendingCount > 0
            }
        }
        for (id in inOrder()) {
            val proofs = pending[id] ?: continue
            val job = context.view.jobs[id]
            proofs.events.values.removeIf { job?.placed(it.index)?.attempt != it.attempt }
            if (job == null || proofs.events.isEmpty()) {
                pending.remove(id)
                continue
            }
            // Asked when they are committed, not when they come: a controller inside a lost zone learnt of the loss
            // only after the reports of its return, and had tasks started again whose class forbids it.
            val events = proofs.events.values.filterNot { context.zones?.mustDefer(it) ?: false }
            if (events.isEmpty()) continue
            val hurry = hurry(job, events)
            if (!hurry && !gathered(proofs) { wanted }) continue
            // Not even what is most urgent may be written: the rest waits as well.
            if (!context.transactions.mayWrite(WriteCause.FINISH, 1)) break
            val cause = when {
                hurry && small(job) -> WriteCause.CLOSE
                hurry -> WriteCause.FINISH
                events.size >= FEW -> WriteCause.PROOF
                else -> WriteCause.TRICKLE
            }
            if (context.transactions.mayWrite(cause, 1) &&
                settle(job, events, term, cause)
            ) {
                proofs.sinceNs = context.nowNs
            }
        }
        if (context.leadership.isLeader()) sweep()
    }

    /**
     * The jobs with proofs, in the order in which these are committed: as they came, the most urgent first in a
     * recovery.
     */
    private fun inOrder(): List<String> {
        val zones = context.zones?.takeIf { it.isRecovering } ?: return pending.keys.toList()
        val (known, over) = pending.keys.partition { it in context.view.jobs }
        return zones.sort(
            known.mapNotNull {
                context.view.jobs[it]
            },
            context.scheduling.teamUsage(),
            overdueBeforeMs = 0,
        ).map { it.id } +
            over
    }

    /**
     * Whether someone waits for just this: a task to start again, a gang, or the end of this part's share of the job.
     */
    private fun hurry(job: Job, events: List<TaskEvent>): Boolean = job.isGang ||
        job.cancelled ||
        events.any { it is TaskEvent.Lost } ||
        events.size >= job.placedCount ||
        events.size >= job.allPlaced().count { mine(it.machineName) }

    private fun small(job: Job) =
        !job.isGang && !job.cancelled && job.spec.taskCount < FEW && job.spec.priority == Priority.IDLE

    private fun mine(machineName: String) = context.view.machines[machineName]?.let { context.shards.owns(it) } ?: true

    /** Ends of an array's tasks gather for a while, unless changes are plenty: several of them are one write. */
    private fun gathered(proofs: Proofs, wanted: () -> Boolean): Boolean {
        if (context.transactions.budget.ample(context.nowNs)) return true
        val wait = context.settings.workers.heartbeatIntervalS * if (wanted()) WANTED_HEARTBEATS else GATHER_HEARTBEATS
        val due = proofs.sinceNs + (wait * NANOS_PER_SECOND).toLong()
        if (context.nowNs < due) context.decisions.requestAt(due)
        return context.nowNs >= due
    }

    private fun settle(job: Job, all: List<TaskEvent>, term: ULong, cause: WriteCause): Boolean {
        // As many chunks as one transaction holds; the others follow in the next.
        val some = all.mapTo(LinkedHashSet()) {
            it.index / job.chunkTasks
        }.take(chunksAtOnce(context.settings.stateLimits)).toSet()
        if ((some + 0).any { context.transactions.isWritePending(StoreKeys.chunk(job.id, it)) }) return false
        val events = all.filter { it.index / job.chunkTasks in some }
        val next = TaskEventRules.apply(
            job,
            events,
            context.nowMs,
            (context.settings.workers.heartbeatIntervalS * BACKOFF_HEARTBEATS * MILLIS_PER_SECOND).toLong(),
            tracksLosses = context.subsystem != null,
        )
        if (next === job) return false
        val over = next.complete || (next.cancelled && next.placedCount == 0)
        val txn = if (over) {
            over(
                context,
                next,
                aborted = !next.complete || next.cancelled,
                fenced = true,
            )
        } else {
            marked(write(job, next, term).fencedByZones(job, events), events)
        }
        return context.transactions.submit(cause, txn) { outcome ->
            if (outcome is TransactionOutcome.Committed) {
                for (e in events) {
                    log.info(
                        "job={} task={} attempt={} term={} {}",
                        e.job,
                        e.index,
                        e.attempt,
                        term,
                        describe(e),
                    )
                }
                if (over) log.info("job={} over done={} cancelled={}", next.id, next.doneCount, next.cancelled)
            }
        }
    }

    /** Where a class forbids repeats, what is not known to have ended holds only if its zone is as this view has it. */
    private fun Transaction.fencedByZones(job: Job, events: List<TaskEvent>): Transaction {
        val zones = context.zones ?: return this
        return copy(conditions = conditions + zones.fences(job, events).associateWith { context.view.version(it) })
    }

    /** With disruption budgets on, a loss is told in this node's mark as well: no drain steps on a view without it. */
    private fun marked(txn: Transaction, events: List<TaskEvent>): Transaction {
        val mark = context.subsystem?.lossMark()
        return if (mark == null || events.none { it is TaskEvent.Lost }) txn else txn.copy(changes = txn.changes + mark)
    }

    /** Jobs that are over but still in the live keys: a cancel met the last exit on its way, for example. */
    private fun sweep() {
        for (job in context.view.jobs.values) {
            val over = job.complete || (job.cancelled && job.placedCount == 0)
            if (!over || context.transactions.isWritePending(StoreKeys.JOB + job.id)) continue
            if (!context.transactions.submit(
                    WriteCause.FINISH,
                    over(context, job, aborted = job.cancelled, fenced = true),
                )
            ) {
                return
            }
        }
        val strays = context.view.strayChunks.keys.filter {
            !context.transactions.isWritePending(
                StoreKeys.JOB_CHUNK + it,
            )
        }
        if (strays.isNotEmpty()) {
            val some = strays.take(context.settings.stateLimits.txnOps / 2)
            context.transactions.submit(
                WriteCause.ROOM,
                Transaction(
                    fence(context),
                    some.map {
                        Change.Delete(
                            StoreKeys.JOB_CHUNK + it,
                        )
                    },
                ),
            )
        }
    }

    private fun describe(e: TaskEvent): String = when (e) {
        is TaskEvent.Completed -> "done"
        is TaskEvent.Lost -> "left host=${e.machineName} why=${e.why}"
    }

    companion object {
        private val log = LoggerFactory.getLogger("flaxfield.jobs")

        /** A job that fails everywhere is tried again after this many report intervals, then twice as many. */
        private const val BACKOFF_HEARTBEATS = 2

        /** So many tasks of one job are worth a write of their own also when changes are scarce. */
        const val FEW = 4

        /** Ends gather for so many report intervals while some job waits for room, */
        private const val WANTED_HEARTBEATS = 0.4

        /** and for so many while none does. */
        private const val GATHER_HEARTBEATS = 1.5

        /** PROTOCOL-flaxfield.md: a transaction's size in all. */
        private const val TXN_KB = 64.0

        /** How many chunks of one job a transaction may change besides its head, each at most a value in size. */
        fun chunksAtOnce(limits: StateLimits): Int =
            minOf(limits.txnOps / 2, (TXN_KB / limits.valueKb).toInt() - 1).coerceAtLeast(1)

        /** The condition that every decision's transaction carries: the assignment it was made under. */
        fun fence(context: ControllerContext): Map<String, ULong> = mapOf(
            StoreKeys.ASSIGNMENT to context.view.version(StoreKeys.ASSIGNMENT),
        )

        /**
         * The transaction that replaces [old]'s record by [next]. The head's version is always a condition, since it
         * tells of a cancellation; it is written only if it changes, or if the job's tasks depend on one another.
         * Written each time, it made parts that place and end tasks in different chunks of one array fail one another.
         */
        fun write(old: Job, next: Job, term: ULong): Transaction {
            val head = old.tasksAreCoupled || !old.sameHead(next)
            val changed = next.chunks.filter { (n, c) -> n == 0 && head || old.chunks[n] !== c }
            val conditions = HashMap<String, ULong>()
            conditions[StoreKeys.ASSIGNMENT] = term
            conditions[StoreKeys.JOB + old.id] = old.version
            for (n in changed.keys) {
                conditions[StoreKeys.chunk(old.id, n)] =
                    if (n == 0) old.version else old.chunks[n]?.version ?: 0uL
            }
            val puts = changed.map { (n, c) ->
                Change.Put(
                    StoreKeys.chunk(old.id, n),
                    if (n ==
                        0
                    ) {
                        JobCodec.encodeHead(next)
                    } else {
                        JobCodec.encodeChunk(c)
                    },
                )
            }
            return Transaction(conditions, puts)
        }

        /** The transaction that moves a job to the finished ones. Chunks beyond a transaction's size follow later. */
        fun over(context: ControllerContext, job: Job, aborted: Boolean, fenced: Boolean): Transaction {
            val head = StoreKeys.JOB + job.id
            val conditions = HashMap<String, ULong>()
            conditions[head] = job.version
            if (fenced) conditions += fence(context)
            val parts = job.chunks.keys.filter { it != 0 && context.view.version(StoreKeys.chunk(job.id, it)) != 0uL }
            val changes = ArrayList<Change>()
            changes +=
                Change.Put(
                    StoreKeys.FINISHED_JOB + job.id,
                    JobCodec.encodeFinished(FinishedJob(job.id, aborted, job.doneCount)),
                )
            changes += Change.Delete(head)
            for (n in parts.take(context.settings.stateLimits.txnOps - changes.size)) {
                val key = StoreKeys.chunk(job.id, n)
                conditions[key] = context.view.version(key)
                changes += Change.Delete(key)
            }
            return Transaction(conditions, changes)
        }
    }
}
