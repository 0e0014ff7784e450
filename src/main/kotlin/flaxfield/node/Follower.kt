package flaxfield.node

import flaxfield.NANOS_PER_MILLI
import flaxfield.NANOS_PER_SECOND
import flaxfield.jobs.JobRequestHandler
import flaxfield.store.Cause
import flaxfield.store.Read
import flaxfield.store.StoreKeys
import flaxfield.store.Watched
import flaxfield.workers.WorkerHealth
import org.slf4j.LoggerFactory

/** Keeps the view: a paged read first, then one watch after another over the same prefix. */
class Follower(private val context: NodeContext, private val jobs: JobRequestHandler, private val hosts: WorkerHealth) {
    /** The view has been complete at least once; read by the network thread as well. */
    @Volatile
    var synced = false
        private set
    private var open = false
    private var listing = false
    private var nextNs = 0L
    private var listFrom: ULong? = null
    private var complete = false
    private var asking = false
    private var nextAskNs = 0L

    /** Half of what counts as fresh: one answer may be lost. */
    private val askGapNs = (context.settings.workers.reportS * ASK_REPORTS * NANOS_PER_SECOND).toLong()

    fun start() {
        listing = true
        complete = false
        listFrom = null
        context.view.clear()
        context.knowledge.forget()
        page(null)
    }

    private fun page(from: String?) {
        if (!context.budget.take(Cause.LEASE, 0, context.nowNs)) return retryList()
        val sentNs = context.nowNs
        context.store.list(StoreKeys.LIVE, from, PAGE) { page ->
            context.post {
                if (page == null) {
                    retryList()
                } else {
                    context.stateOk()
                    // The watch starts from the first page's revision: later pages may be newer, versions tell.
                    if (listFrom == null) {
                        listFrom = page.revision
                        context.knowledge.read(sentNs, page.revision)
                    }
                    for (i in page.items) context.view.apply(i)
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
            context.view.advance(first)
            context.knowledge.reached(first)
        }
        log.info("view read at revision={} jobs={} hosts={}", first, context.view.jobs.size, context.view.machines.size)
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
        if (asking || now < nextAskNs || context.knowledge.within(askGapNs, now)) return
        if (!context.budget.take(Cause.LEASE, 0, now)) return
        asking = true
        nextAskNs = now + askGapNs
        context.store.get(StoreKeys.NOTHING) { read ->
            context.post {
                asking = false
                if (read is Read.Absent) {
                    context.stateOk()
                    context.knowledge.read(now, read.revision)
                    context.knowledge.reached(context.view.revision)
                }
            }
        }
    }

    private fun follow() {
        if (!context.budget.take(Cause.LEASE, 0, context.nowNs)) return
        open = true
        val sentNs = context.nowNs
        nextNs = sentNs + gapNs
        context.store.follow(StoreKeys.LIVE, context.view.revision, BLOCK_MS) { w ->
            context.post { watched(w, sentNs) }
        }
    }

    private fun watched(w: Watched, sentNs: Long) {
        val startNs = System.nanoTime()
        take(w, sentNs)
        context.counts.spent("view", System.nanoTime() - startNs)
    }

    private fun take(w: Watched, sentNs: Long) {
        open = false
        when (w) {
            is Watched.News -> {
                context.stateOk()
                for (i in w.items) {
                    context.view.apply(i)
                    if (i.value == null &&
                        i.key.startsWith(StoreKeys.HOST)
                    ) {
                        hosts.forget(i.key.removePrefix(StoreKeys.HOST))
                    }
                }
                context.knowledge.read(sentNs, w.revision)
                moved(w.revision)
                tick()
            }
            is Watched.TooOld -> {
                log.info("view too old at revision={}, read again", context.view.revision)
                start()
            }
            is Watched.Failed -> nextNs = context.nowNs + RETRY_MS * NANOS_PER_MILLI
        }
    }

    private fun moved(revision: ULong) {
        context.view.advance(revision)
        context.knowledge.reached(context.view.revision)
        synced = true
        context.dirty = true
        context.caughtUp()
        jobs.viewMoved()
        context.subsystem?.viewMoved()
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
        const val ASK_REPORTS = 0.5
    }
}
