package flaxfield.jobs

import flaxfield.NANOS_PER_MILLI
import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.Controller
import flaxfield.controller.ControllerContext
import flaxfield.store.ReadResult
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause

/** The outcome of a linearizable read of one job. */
internal sealed interface JobReadResult {
    /** The job as of a moment after the read began; null if the view has no such job. */
    data class Current(val job: Job?) : JobReadResult

    /** The view could not be confirmed in time. */
    data class Unavailable(val reason: String) : JobReadResult
}

/**
 * Reads jobs from the view once it is surely as new as the moment of the request: it asks the state service for the
 * current revision, and waits until the view has reached it. Each read ends once, at the latest after [MAX_WAIT_MS].
 */
internal class LinearizableJobReader(private val context: ControllerContext) {
    private class Waiter(val id: String, val sinceNs: Long, val done: (JobReadResult) -> Unit) {
        /** The view must have reached this revision; null until the state service has returned it. */
        var requiredRevision: ULong? = null
    }

    private val waiters = ArrayList<Waiter>()
    private var isReadingRevision = false
    private var nextReadNs = 0L

    /**
     * Reads of the revision take at most a share of this process's part of the state service's rate. Nor need they come
     * much more often than the view moves on: one read serves all who asked before it was sent.
     */
    private val readGapNs = maxOf(
        (NANOS_PER_SECOND / (context.settings.stateLimits.rps * READ_SHARE / context.settings.size)).toLong(),
        READ_GAP_DECISIONS * Controller.MIN_DECISION_INTERVAL_MS * NANOS_PER_MILLI,
    )

    /** Reads the job with this [id]; [done] is called once, possibly at once. */
    fun read(id: String, done: (JobReadResult) -> Unit) {
        if (context.storeContact.isUnreachable(context.settings.workers.leaseS)) {
            return done(JobReadResult.Unavailable(STORE_SILENT))
        }
        if (waiters.size >= MAX_WAITERS) return done(JobReadResult.Unavailable("too many requests"))
        waiters += Waiter(id, context.nowNs, done)
        readRevision()
    }

    private fun readRevision() {
        val now = context.nowNs
        if (isReadingRevision || now < nextReadNs || waiters.none { it.requiredRevision == null }) return
        if (!context.transactions.budget.take(WriteCause.READ, 0, now)) return
        isReadingRevision = true
        nextReadNs = now + readGapNs
        val asked = waiters.filter { it.requiredRevision == null }
        context.store.get(StoreKeys.REVISION_PROBE) { result ->
            context.post {
                isReadingRevision = false
                if (result is ReadResult.Absent) onRevision(result.revision, now, asked) else onReadFailed(asked)
                readRevision()
            }
        }
    }

    private fun onRevision(revision: ULong, askedNs: Long, asked: List<Waiter>) {
        context.storeContact.noteResponse()
        context.viewFreshness.read(askedNs, revision)
        context.viewFreshness.reached(context.view.revision)
        for (waiter in asked) waiter.requiredRevision = revision
        onViewAdvanced()
    }

    private fun onReadFailed(asked: List<Waiter>) {
        // Some have been given up on meanwhile. On a kept connection a second response would be taken for the next
        // request's.
        end(asked.filterTo(HashSet()) { it in waiters }) { JobReadResult.Unavailable(STORE_SILENT) }
    }

    /** Ends the reads whose revision the view has reached. */
    fun onViewAdvanced() {
        if (waiters.isEmpty()) return
        val ready = waiters.filter { waiter -> waiter.requiredRevision?.let { it <= context.view.revision } ?: false }
        end(ready) { JobReadResult.Current(context.view.jobs[it.id]) }
    }

    /** Gives up on reads that took too long. */
    fun tick() {
        if (waiters.isEmpty()) return
        val late = waiters.filter { context.nowNs - it.sinceNs > MAX_WAIT_MS * NANOS_PER_MILLI }
        end(late) { JobReadResult.Unavailable("the view lags") }
        readRevision()
    }

    private fun end(ended: Collection<Waiter>, resultOf: (Waiter) -> JobReadResult) {
        if (ended.isEmpty()) return
        waiters.removeAll(ended.toSet())
        for (waiter in ended) waiter.done(resultOf(waiter))
    }

    private companion object {
        const val MAX_WAITERS = 512

        /** Users wait 2 s for the response to a poll. */
        const val MAX_WAIT_MS = 1_500

        /** The share of this process's part of the state service's rate. */
        const val READ_SHARE = 0.15
        const val READ_GAP_DECISIONS = 2
    }
}
