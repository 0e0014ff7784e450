package flaxfield.node

import flaxfield.jobs.JobRequestHandler
import flaxfield.store.Cause
import flaxfield.store.StoreKeys
import flaxfield.store.Read
import flaxfield.store.Watched
import flaxfield.workers.WorkerHealth
import org.slf4j.LoggerFactory

/** Keeps the view: a paged read first, then one watch after another over the same prefix. */
class Follower(private val hub: NodeContext, private val jobs: JobRequestHandler, private val hosts: WorkerHealth) {
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
    private val askGapNs = (hub.settings.workers.reportS * ASK_REPORTS * NS_PER_S).toLong()

    fun start() {
        listing = true
        complete = false
        listFrom = null
        hub.world.clear()
        hub.knowledge.forget()
        page(null)
    }

    private fun page(from: String?) {
        if (!hub.budget.take(Cause.LEASE, 0, hub.nowNs)) return retryList()
        val sentNs = hub.nowNs
        hub.store.list(StoreKeys.LIVE, from, PAGE) { page ->
            hub.post {
                if (page == null) {
                    retryList()
                } else {
                    hub.stateOk()
                    // The watch starts from the first page's ledger: later pages may be newer, stamps tell.
                    if (listFrom == null) {
                        listFrom = page.ledger
                        hub.knowledge.read(sentNs, page.ledger)
                    }
                    for (i in page.items) hub.world.apply(i)
                    if (page.more && page.items.isNotEmpty()) page(page.items.last().key) else listed(page.ledger)
                }
            }
        }
    }

    private fun retryList() {
        listing = false
        nextNs = hub.nowNs + RETRY_MS * NS_PER_MS
    }

    private fun listed(last: ULong) {
        listing = false
        complete = true
        val first = listFrom ?: last
        if (first == last) {
            moved(last)
        } else {
            hub.world.advance(first)
            hub.knowledge.reached(first)
        }
        log.info("view read at ledger={} jobs={} hosts={}", first, hub.world.jobs.size, hub.world.machines.size)
        tick()
    }

    fun tick() {
        if (complete && !listing) ask()
        if (open || listing || hub.nowNs < nextNs) return
        if (!complete) return start()
        follow()
    }

    /**
     * A watch answers when something changes: in quiet times the view is up to date and we do not know it. Workers' leases
     * depend on that knowledge, so it is asked for at the price of one request.
     */
    private fun ask() {
        val now = hub.nowNs
        if (asking || now < nextAskNs || hub.knowledge.within(askGapNs, now)) return
        if (!hub.budget.take(Cause.LEASE, 0, now)) return
        asking = true
        nextAskNs = now + askGapNs
        hub.store.get(StoreKeys.NOTHING) { read ->
            hub.post {
                asking = false
                if (read is Read.Absent) {
                    hub.stateOk()
                    hub.knowledge.read(now, read.ledger)
                    hub.knowledge.reached(hub.world.ledger)
                }
            }
        }
    }

    private fun follow() {
        if (!hub.budget.take(Cause.LEASE, 0, hub.nowNs)) return
        open = true
        val sentNs = hub.nowNs
        nextNs = sentNs + gapNs
        hub.store.follow(StoreKeys.LIVE, hub.world.ledger, BLOCK_MS) { w -> hub.post { watched(w, sentNs) } }
    }

    private fun watched(w: Watched, sentNs: Long) {
        val startNs = System.nanoTime()
        take(w, sentNs)
        hub.counts.spent("view", System.nanoTime() - startNs)
    }

    private fun take(w: Watched, sentNs: Long) {
        open = false
        when (w) {
            is Watched.News -> {
                hub.stateOk()
                for (i in w.items) {
                    hub.world.apply(i)
                    if (i.value == null && i.key.startsWith(StoreKeys.HOST)) hosts.forget(i.key.removePrefix(StoreKeys.HOST))
                }
                hub.knowledge.read(sentNs, w.ledger)
                moved(w.ledger)
                tick()
            }
            is Watched.TooOld -> {
                log.info("view too old at ledger={}, read again", hub.world.ledger)
                start()
            }
            is Watched.Failed -> nextNs = hub.nowNs + RETRY_MS * NS_PER_MS
        }
    }

    private fun moved(ledger: ULong) {
        hub.world.advance(ledger)
        hub.knowledge.reached(hub.world.ledger)
        synced = true
        hub.dirty = true
        hub.caughtUp()
        jobs.viewMoved()
    }

    /**
     * Opened watches count as requests: they take at most this share of the node's part of the rate. Nor need the
     * view be newer than decisions are made: each watch costs both sides a request.
     */
    private val gapNs = maxOf(
        (NS_PER_S / (hub.settings.stateLimits.rps * FOLLOW_SHARE / hub.settings.size)).toLong(),
        Controller.DECIDE_GAP_MS * NS_PER_MS,
    )

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.store")

        /** Half of what the service gives at once: each page more costs a request and a turn before leases are renewed again. */
        const val PAGE = 500
        const val BLOCK_MS = 10_000L
        const val RETRY_MS = 250L
        const val FOLLOW_SHARE = 0.25
        const val ASK_REPORTS = 0.5
        const val NS_PER_MS = 1_000_000L
        const val NS_PER_S = 1e9
    }
}
