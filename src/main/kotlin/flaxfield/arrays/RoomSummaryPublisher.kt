package flaxfield.arrays

import flaxfield.NANOS_PER_SECOND
import flaxfield.jobs.TaskCompletion
import flaxfield.node.NodeContext
import flaxfield.store.Cause
import flaxfield.store.Change
import flaxfield.store.Outcome
import flaxfield.store.StoreKeys
import flaxfield.store.Txn
import flaxfield.workers.WorkerHealth
import flaxfield.zones.ZoneHearing

/** Tells the leader how the machines of this node's part stand. */
class RoomSummaryPublisher(private val context: NodeContext, private val hosts: WorkerHealth) {
    private var pages = 1
    private var pagesTerm: ULong? = null
    private val sent = HashMap<Int, RoomSummary>()
    private var nextSummaryNs = 0L
    private var nextImagesNs = 0L

    fun run(term: ULong) {
        if (context.nowNs < nextSummaryNs) return
        nextSummaryNs = context.nowNs + (context.settings.workers.reportS * SUMMARY_REPORTS * NANOS_PER_SECOND).toLong()
        if (term != pagesTerm) {
            pagesTerm = term
            sent.clear()
        }
        val mine = context.mine()
        pages = RoomPages.count(mine.size, context.settings.stateLimits.valueKb, pages)
        val dealt = Array(pages) { HashMap<String, HostRoom>() }
        for (m in mine) dealt[RoomPages.page(m.name, pages)][m.name] = hosts.book(m.name).room(hosts.state(m.name))
        // A machine that came up or fell silent is news at once; which images it holds may wait a little.
        val withImages = context.nowNs >= nextImagesNs
        if (withImages) {
            nextImagesNs =
                context.nowNs + (context.settings.workers.reportS * IMAGES_REPORTS * NANOS_PER_SECOND).toLong()
        }
        // The last page first: when pages split, rows appear in their new page before they leave the old one.
        for (page in dealt.indices.reversed()) {
            val before = sent[page]
            val now = RoomSummary(term, dealt[page], if (page == 0) hearings(before) else null)
            if (now == before || before != null && !withImages && sameStates(before, now)) continue
            write(page, now, before == null || !sameStates(before, now))
        }
    }

    /**
     * What is heard of the zones, counts only as they were [before] where they matter no more: each would be a write.
     */
    private fun hearings(before: RoomSummary?): Map<String, ZoneHearing>? {
        if (context.zones == null) return null
        return hosts.hearings().mapValues { (zone, now) ->
            before?.hearings?.get(zone)?.takeIf { it.isLike(now) } ?: now
        }
    }

    private fun sameStates(a: RoomSummary, b: RoomSummary): Boolean = a.hearings == b.hearings &&
        a.hosts.size == b.hosts.size &&
        b.hosts.all { (name, room) ->
            a.hosts[name]?.let { it.state == room.state && it.session == room.session }
                ?: false
        }

    private fun write(page: Int, now: RoomSummary, pressing: Boolean) {
        val key = StoreKeys.room(context.me.name, page)
        if (context.isBusy(key)) return
        val conditions = TaskCompletion.fence(context) + (key to context.view.version(key))
        val cause = if (pressing) Cause.FLEET else Cause.ROOM
        val written = context.commit(cause, Txn(conditions, listOf(Change.Put(key, RoomCodec.encode(now))))) {
            if (it !is Outcome.Committed) sent.remove(page)
        }
        if (written) sent[page] = now
    }

    private companion object {
        /** Summaries are written at most this often, in report intervals. */
        const val SUMMARY_REPORTS = 0.4

        /** Images alone are written at most this often. */
        const val IMAGES_REPORTS = 1.5
    }
}
