package flaxfield.arrays

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.jobs.JobTransactions
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import flaxfield.workers.WorkerHealth
import flaxfield.zones.ZoneCoverage

/**
 * Publishes the status of this controller's machines to the leader, in pages. A page is written when a machine's state
 * or incarnation changes, and for its images alone less often. Owned by the owner thread.
 */
class ShardSummaryPublisher(private val context: ControllerContext, private val workerHealth: WorkerHealth) {
    private var pages = 1
    private var publishedTerm: ULong? = null

    /** What was written last under [publishedTerm], by page. */
    private val published = HashMap<Int, ShardSummary>()
    private var nextSummaryNs = 0L
    private var nextImagesNs = 0L

    /** Writes the pages that have changed, unless the last time was too recent. */
    fun run(term: ULong) {
        if (context.nowNs < nextSummaryNs) return
        nextSummaryNs = afterHeartbeats(SUMMARY_HEARTBEATS)
        if (term != publishedTerm) {
            publishedTerm = term
            published.clear()
        }
        val statuses = statusesByPage()
        val withImages = context.nowNs >= nextImagesNs
        if (withImages) nextImagesNs = afterHeartbeats(IMAGES_HEARTBEATS)
        // The last page first: when pages split, rows appear in their new page before they leave the old one.
        for (page in statuses.indices.reversed()) {
            val before = published[page]
            val now = ShardSummary(term, statuses[page], if (page == 0) zoneCoverage(before) else null)
            if (now == before) continue
            val isUrgent = before == null || !haveSameStates(before, now)
            if (isUrgent || withImages) write(page, now, isUrgent)
        }
    }

    private fun afterHeartbeats(count: Double): Long =
        context.nowNs + (context.settings.workers.heartbeatIntervalS * count * NANOS_PER_SECOND).toLong()

    private fun statusesByPage(): Array<HashMap<String, MachineStatus>> {
        val owned = context.shards.ownedMachines()
        pages = ShardSummaryPages.count(owned.size, context.settings.stateLimits.valueKb, pages)
        val statuses = Array(pages) { HashMap<String, MachineStatus>() }
        for (machine in owned) {
            statuses[ShardSummaryPages.pageOf(machine.name, pages)][machine.name] =
                workerHealth.workerState(machine.name).toMachineStatus(workerHealth.state(machine.name))
        }
        return statuses
    }

    /**
     * The heartbeats that arrive from each zone. A count is kept as it was [before] where the difference does not
     * matter: each would be a write.
     */
    private fun zoneCoverage(before: ShardSummary?): Map<String, ZoneCoverage>? {
        if (context.zones == null) return null
        return workerHealth.zoneCoverage().mapValues { (zone, now) ->
            before?.zoneCoverage?.get(zone)?.takeIf { it.isEquivalentTo(now) } ?: now
        }
    }

    /** Whether the two differ in images and addresses at most. */
    private fun haveSameStates(before: ShardSummary, now: ShardSummary): Boolean =
        before.zoneCoverage == now.zoneCoverage &&
            before.machines.size == now.machines.size &&
            now.machines.all { (name, status) -> hasSameState(before.machines[name], status) }

    private fun hasSameState(before: MachineStatus?, now: MachineStatus): Boolean =
        before != null && before.state == now.state && before.incarnation == now.incarnation

    private fun write(page: Int, summary: ShardSummary, isUrgent: Boolean) {
        val key = StoreKeys.shardSummary(context.self.name, page)
        if (context.transactions.isWritePending(key)) return
        val transaction = Transaction(
            JobTransactions.assignmentFence(context) + (key to context.view.version(key)),
            listOf(Change.Put(key, ShardSummaryCodec.encode(summary))),
        )
        val cause = if (isUrgent) WriteCause.FLEET else WriteCause.ROOM
        val sent = context.transactions.submit(cause, transaction) {
            if (it !is TransactionOutcome.Committed) published.remove(page)
        }
        if (sent) published[page] = summary
    }

    private companion object {
        /** Pages are written at most this often, in heartbeat intervals. */
        const val SUMMARY_HEARTBEATS = 0.4

        /** Images alone are written at most this often, in heartbeat intervals. */
        const val IMAGES_HEARTBEATS = 1.5
    }
}
