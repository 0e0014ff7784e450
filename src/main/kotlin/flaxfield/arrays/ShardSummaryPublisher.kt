package flaxfield.arrays

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.jobs.TaskEventCommitter
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import flaxfield.workers.WorkerHealth
import flaxfield.zones.ZoneCoverage

/** Tells the leader how the machines of this node's part stand. */
class ShardSummaryPublisher(private val context: ControllerContext, private val workerHealth: WorkerHealth) {
    private var pages = 1
    private var pagesTerm: ULong? = null
    private val sent = HashMap<Int, ShardSummary>()
    private var nextSummaryNs = 0L
    private var nextImagesNs = 0L

    fun run(term: ULong) {
        if (context.nowNs < nextSummaryNs) return
        nextSummaryNs =
            context.nowNs +
            (context.settings.workers.heartbeatIntervalS * SUMMARY_HEARTBEATS * NANOS_PER_SECOND).toLong()
        if (term != pagesTerm) {
            pagesTerm = term
            sent.clear()
        }
        val mine = context.shards.ownedMachines()
        pages = ShardSummaryPages.count(mine.size, context.settings.stateLimits.valueKb, pages)
        val dealt = Array(pages) { HashMap<String, MachineStatus>() }
        for (m in mine) {
            dealt[ShardSummaryPages.page(m.name, pages)][m.name] =
                workerHealth.workerState(m.name).room(workerHealth.state(m.name))
        }
        // A machine that came up or fell silent is news at once; which images it holds may wait a little.
        val withImages = context.nowNs >= nextImagesNs
        if (withImages) {
            nextImagesNs =
                context.nowNs +
                (context.settings.workers.heartbeatIntervalS * IMAGES_HEARTBEATS * NANOS_PER_SECOND).toLong()
        }
        // The last page first: when pages split, rows appear in their new page before they leave the old one.
        for (page in dealt.indices.reversed()) {
            val before = sent[page]
            val now = ShardSummary(term, dealt[page], if (page == 0) zoneCoverage(before) else null)
            if (now == before || before != null && !withImages && sameStates(before, now)) continue
            write(page, now, before == null || !sameStates(before, now))
        }
    }

    /**
     * What is heard of the zones, counts only as they were [before] where they matter no more: each would be a write.
     */
    private fun zoneCoverage(before: ShardSummary?): Map<String, ZoneCoverage>? {
        if (context.zones == null) return null
        return workerHealth.zoneCoverage().mapValues { (zone, now) ->
            before?.zoneCoverage?.get(zone)?.takeIf { it.isEquivalentTo(now) } ?: now
        }
    }

    private fun sameStates(a: ShardSummary, b: ShardSummary): Boolean = a.zoneCoverage == b.zoneCoverage &&
        a.hosts.size == b.hosts.size &&
        b.hosts.all { (name, room) ->
            a.hosts[name]?.let { it.state == room.state && it.incarnation == room.incarnation }
                ?: false
        }

    private fun write(page: Int, now: ShardSummary, pressing: Boolean) {
        val key = StoreKeys.shardSummary(context.self.name, page)
        if (context.transactions.isWritePending(key)) return
        val conditions = TaskEventCommitter.fence(context) + (key to context.view.version(key))
        val cause = if (pressing) WriteCause.FLEET else WriteCause.ROOM
        val written = context.transactions.submit(
            cause,
            Transaction(conditions, listOf(Change.Put(key, ShardSummaryCodec.encode(now)))),
        ) {
            if (it !is TransactionOutcome.Committed) sent.remove(page)
        }
        if (written) sent[page] = now
    }

    private companion object {
        /** Summaries are written at most this often, in report intervals. */
        const val SUMMARY_HEARTBEATS = 0.4

        /** Images alone are written at most this often. */
        const val IMAGES_HEARTBEATS = 1.5
    }
}
