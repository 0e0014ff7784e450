package flaxfield.controller

import flaxfield.NANOS_PER_MILLI
import flaxfield.NANOS_PER_SECOND
import flaxfield.jobs.JobRequestHandler
import flaxfield.store.ClusterReplica
import flaxfield.store.ReadResult
import flaxfield.store.StoreKeys
import flaxfield.store.WatchResult
import flaxfield.store.WriteCause
import flaxfield.workers.WorkerHealth
import org.slf4j.LoggerFactory

/** Keeps the view: a paged read first, then one watch after another over the same prefix. */
class StoreReflector(
    private val context: ControllerContext,
    private val replica: ClusterReplica,
    private val jobs: JobRequestHandler,
    private val workerHealth: WorkerHealth,
) {
    /** The view has been complete at least once; read by the network thread as well. */
    @Volatile
    var hasSynced = false
        private set
    private var open = false
    private var listing = false
    private var nextNs = 0L
    private var listFrom: ULong? = null
    private var complete = false
    private var asking = false
    private var nextAskNs = 0L

    /** Half of what counts as fresh: one answer may be lost. */
    private val askGapNs = (context.settings.workers.heartbeatIntervalS * ASK_HEARTBEATS * NANOS_PER_SECOND).toLong()

    fun start() {
        listing = true
        complete = false
        listFrom = null
        replica.clear()
        context.viewFreshness.forget()
        page(null)
    }

    private fun page(from: String?) {
        if (!context.transactions.budget.take(WriteCause.LEASE, 0, context.nowNs)) return retryList()
        val sentNs = context.nowNs
        context.store.list(StoreKeys.LIVE, from, PAGE) { page ->
            context.post {
                if (page == null) {
                    retryList()
                } else {
                    context.storeContact.noteResponse()
                    // The watch starts from the first page's revision: later pages may be newer, versions tell.
                    if (listFrom == null) {
                        listFrom = page.revision
                        context.viewFreshness.read(sentNs, page.revision)
                    }
                    for (i in page.items) replica.apply(i)
                    if (page.more && page.items.isNotEmpty()) page(page.items.last().key) else listed(page.revision)
                }
            }
        }
    }

    private fun retryList() {
        listing = false
        nextNs = context.nowNs + RETRY_MS * NANOS_PER_MILLI
    }

    private fun listed(last: ULong) {
        listing = false
        complete = true
        val first = listFrom ?: last
        if (first == last) {
            moved(last)
        } else {
            replica.advance(first)
            context.viewFreshness.reached(first)
        }
        log.info(
            "view read at revision={} jobs={} machines={}",
            first,
            context.view.jobs.size,
            context.view.machines.size,
        )
        tick()
    }

    fun tick() {
        if (complete && !listing) ask()
        if (open || listing || context.nowNs < nextNs) return
        if (!complete) return start()
        follow()
    }

    /**
     * A watch answers when something changes: in quiet times the view is up to date and we do not know it. Workers'
     * leases depend on that knowledge, so it is asked for at the price of one request.
     */
    private fun ask() {
        val now = context.nowNs
        if (asking || now < nextAskNs || context.viewFreshness.within(askGapNs, now)) return
        if (!context.transactions.budget.take(WriteCause.LEASE, 0, now)) return
        asking = true
        nextAskNs = now + askGapNs
        context.store.get(StoreKeys.REVISION_PROBE) { read ->
            context.post {
                asking = false
                if (read is ReadResult.Absent) {
                    context.storeContact.noteResponse()
                    context.viewFreshness.read(now, read.revision)
                    context.viewFreshness.reached(context.view.revision)
                }
            }
        }
    }

    private fun follow() {
        if (!context.transactions.budget.take(WriteCause.LEASE, 0, context.nowNs)) return
        open = true
        val sentNs = context.nowNs
        nextNs = sentNs + gapNs
        context.store.follow(StoreKeys.LIVE, context.view.revision, BLOCK_MS) { w ->
            context.post { watched(w, sentNs) }
        }
    }

    private fun watched(w: WatchResult, sentNs: Long) {
        val startNs = System.nanoTime()
        take(w, sentNs)
        context.stats.addDutyTime("view", System.nanoTime() - startNs)
    }

    private fun take(w: WatchResult, sentNs: Long) {
        open = false
        when (w) {
            is WatchResult.Changes -> {
                context.storeContact.noteResponse()
                for (i in w.items) {
                    replica.apply(i)
                    if (i.value == null &&
                        i.key.startsWith(StoreKeys.MACHINE)
                    ) {
                        workerHealth.forget(i.key.removePrefix(StoreKeys.MACHINE))
                    }
                }
                context.viewFreshness.read(sentNs, w.revision)
                moved(w.revision)
                tick()
            }
            is WatchResult.Compacted -> {
                log.info("view too old at revision={}, read again", context.view.revision)
                start()
            }
            is WatchResult.Failed -> nextNs = context.nowNs + RETRY_MS * NANOS_PER_MILLI
        }
    }

    private fun moved(revision: ULong) {
        replica.advance(revision)
        context.viewFreshness.reached(context.view.revision)
        hasSynced = true
        context.decisions.request()
        context.transactions.releaseSettledKeys()
        jobs.onViewAdvanced()
        context.subsystem?.onViewAdvanced()
    }

    /**
     * Opened watches count as requests: they take at most this share of the node's part of the rate. Nor need the
     * view be newer than decisions are made: each watch costs both sides a request.
     */
    private val gapNs = maxOf(
        (NANOS_PER_SECOND / (context.settings.stateLimits.rps * FOLLOW_SHARE / context.settings.size)).toLong(),
        Controller.DECIDE_GAP_MS * NANOS_PER_MILLI,
    )

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.store")

        /**
         * Half of what the service gives at once: each page more costs a request and a turn before leases are renewed
         * again.
         */
        const val PAGE = 500
        const val BLOCK_MS = 10_000L
        const val RETRY_MS = 250L
        const val FOLLOW_SHARE = 0.25
        const val ASK_HEARTBEATS = 0.5
    }
}
