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
    /** The state of the job at some moment after the read started; null if the view has no such job. */
    data class Current(val job: Job?) : JobReadResult

    /** The view could not be confirmed in time. */
    data class Unavailable(val reason: String) : JobReadResult
}

/**
 * Serves linearizable reads of jobs from the view. It asks the state service for the current revision and waits until
 * the view has reached it. Each read completes exactly once, at the latest after [MAX_WAIT_MS].
 */
internal class LinearizableJobReader(private val context: ControllerContext) {
    private class Waiter(val id: String, val sinceNs: Long, val done: (JobReadResult) -> Unit) {
        /** The revision that the view must reach; null until the state service has returned it. */
        var requiredRevision: ULong? = null
    }

    private val waiters = ArrayList<Waiter>()
    private var isReadingRevision = false
    private var nextReadNs = 0L

    /**
     * The minimum interval between two reads of the revision, which may take only [READ_SHARE] of this process's part
     * of the state service's rate limit. One read serves all requests that arrived before it was sent, so reads are not
     * needed much more often than the view advances.
     */
    private val readGapNs = maxOf(
        (NANOS_PER_SECOND / (context.settings.stateLimits.rps * READ_SHARE / context.settings.size)).toLong(),
        READ_GAP_DECISIONS * Controller.MIN_DECISION_INTERVAL_MS * NANOS_PER_MILLI,
    )

    /** Reads the job with this [id]. Calls [done] exactly once, possibly before it returns. */
    fun read(id: String, done: (JobReadResult) -> Unit) {
        if (context.storeContact.isUnreachable(context.settings.workers.leaseS)) {
            return done(JobReadResult.Unavailable(STORE_UNREACHABLE))
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
        val sent = waiters.filter { it.requiredRevision == null }
        context.store.get(StoreKeys.REVISION_PROBE) { result ->
            context.post {
                isReadingRevision = false
                if (result is ReadResult.Absent) onRevision(result.revision, now, sent) else onReadFailed(sent)
                readRevision()
            }
        }
    }

    private fun onRevision(revision: ULong, sentNs: Long, sent: List<Waiter>) {
        context.storeContact.noteResponse()
        context.viewFreshness.recordRead(sentNs, revision)
        context.viewFreshness.onViewReached(context.view.revision)
        for (waiter in sent) waiter.requiredRevision = revision
        onViewAdvanced()
    }

    private fun onReadFailed(sent: List<Waiter>) {
        // Some waiters may have timed out already. On a persistent connection a second response would be taken for
        // that of the next request.
        complete(sent.filterTo(HashSet()) { it in waiters }) { JobReadResult.Unavailable(STORE_UNREACHABLE) }
    }

    /** Completes the reads whose revision the view has reached. */
    fun onViewAdvanced() {
        if (waiters.isEmpty()) return
        val ready = waiters.filter { waiter -> waiter.requiredRevision?.let { it <= context.view.revision } ?: false }
        complete(ready) { JobReadResult.Current(context.view.jobs[it.id]) }
    }

    /** Fails reads that timed out, and reads the revision for the others if that is due. */
    fun tick() {
        if (waiters.isEmpty()) return
        val timedOut = waiters.filter { context.nowNs - it.sinceNs > MAX_WAIT_MS * NANOS_PER_MILLI }
        complete(timedOut) { JobReadResult.Unavailable("the view lags") }
        readRevision()
    }

    private fun complete(completed: Collection<Waiter>, resultOf: (Waiter) -> JobReadResult) {
        if (completed.isEmpty()) return
        waiters.removeAll(completed.toSet())
        for (waiter in completed) waiter.done(resultOf(waiter))
    }

    private companion object {
        const val MAX_WAITERS = 512

        /** Users wait 2 s for the response to a poll. */
        const val MAX_WAIT_MS = 1_500

        /** The share of this process's part of the state service's rate limit. */
        const val READ_SHARE = 0.15

        /** The minimum interval between two reads of the revision, in intervals between decisions. */
        const val READ_GAP_DECISIONS = 2
    }
}
