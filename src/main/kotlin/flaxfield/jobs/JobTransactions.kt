package flaxfield.jobs

import flaxfield.BYTES_PER_KIB
import flaxfield.controller.ControllerContext
import flaxfield.settings.StateLimits
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction

/**
 * Builds the compare-and-swap transactions that change job records, with their common conditions and size limits. The
 * callers submit them.
 */
object JobTransactions {
    /** A change of at least this many tasks of one job justifies a write of its own even while writes are scarce. */
    const val BULK_TASKS = 4

    /** PROTOCOL-flaxfield.md: the maximum total size of a transaction. */
    private const val MAX_TRANSACTION_KIB = 64.0

    /** The share of a value for placed tasks; the rest is for the job itself, ranges of completed tasks, and growth. */
    private const val CHUNK_SHARE = 0.5

    /** The size of one placement as the store counts it: index, attempt, machine, incarnation and flag. */
    private const val PLACEMENT_BYTES = 40

    /** Returns how many tasks make up a chunk. Chunk 0 shares its value with the job itself. */
    fun tasksPerChunk(limits: StateLimits): Int =
        (limits.valueKb * BYTES_PER_KIB * CHUNK_SHARE / PLACEMENT_BYTES).toInt().coerceAtLeast(1)

    /** Returns how many chunks of one job a transaction may change besides the head; each may fill a whole value. */
    fun maxChunks(limits: StateLimits): Int =
        minOf(limits.txnOps / 2, (MAX_TRANSACTION_KIB / limits.valueKb).toInt() - 1).coerceAtLeast(1)

    /** Returns the condition of every decision's transaction: the assignment under which it was made is unchanged. */
    fun assignmentFence(context: ControllerContext): Map<String, ULong> = mapOf(
        StoreKeys.ASSIGNMENT to context.view.version(StoreKeys.ASSIGNMENT),
    )

    /**
     * Replaces the records of [old] by those of [next], under the assignment of [term]. The head's version is always a
     * condition, so that a cancellation makes the transaction fail. The head is written only if it changes, or if the
     * tasks are coupled: otherwise controllers that change different chunks of one array would conflict.
     */
    fun update(old: Job, next: Job, term: ULong): Transaction {
        val writesHead = old.tasksAreCoupled || !old.sameHead(next)
        val changed = next.chunks.filter { (number, chunk) ->
            number == 0 && writesHead || old.chunks[number] !== chunk
        }
        val conditions = HashMap<String, ULong>()
        conditions[StoreKeys.ASSIGNMENT] = term
        conditions[StoreKeys.JOB + old.id] = old.version
        for (number in changed.keys) {
            val version = if (number == 0) old.version else old.chunks[number]?.version ?: 0uL
            conditions[StoreKeys.chunk(old.id, number)] = version
        }
        val puts = changed.map { (number, chunk) ->
            val value = if (number == 0) JobCodec.encodeHead(next) else JobCodec.encodeChunk(chunk)
            Change.Put(StoreKeys.chunk(old.id, number), value)
        }
        return Transaction(conditions, puts)
    }

    /**
     * Replaces a job's live records by that of a finished job. If [fenced], the assignment is a condition. Chunks that
     * do not fit into one transaction are deleted later, by the [FinishedJobSweeper].
     */
    fun close(context: ControllerContext, job: Job, aborted: Boolean, fenced: Boolean): Transaction {
        val headKey = StoreKeys.JOB + job.id
        val conditions = HashMap<String, ULong>()
        conditions[headKey] = job.version
        if (fenced) conditions += assignmentFence(context)
        val storedChunks = job.chunks.keys.filter {
            it != 0 && context.view.version(StoreKeys.chunk(job.id, it)) != 0uL
        }
        val finished = FinishedJob(job.id, aborted, job.doneCount)
        val changes = ArrayList<Change>()
        changes += Change.Put(StoreKeys.FINISHED_JOB + job.id, JobCodec.encodeFinished(finished))
        changes += Change.Delete(headKey)
        for (number in storedChunks.take(context.settings.stateLimits.txnOps - changes.size)) {
            val key = StoreKeys.chunk(job.id, number)
            conditions[key] = context.view.version(key)
            changes += Change.Delete(key)
        }
        return Transaction(conditions, changes)
    }

    /**
     * If disruption budgets are enabled, adds this controller's loss mark to a [transaction] that takes tasks from
     * their machines. No drain evicts tasks on the basis of a view that lacks this mark.
     */
    fun withLossMark(context: ControllerContext, transaction: Transaction): Transaction {
        val mark = context.subsystem?.lossRecord() ?: return transaction
        return transaction.copy(changes = transaction.changes + mark)
    }
}
