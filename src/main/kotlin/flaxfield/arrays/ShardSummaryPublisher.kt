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
 * Publishes the status of this controller's machines to the leader, in pages. A page is written when a machine's health
 * or incarnation changes, and less often if only images have changed. Confined to the owner thread.
 */
class ShardSummaryPublisher(private val context: ControllerContext, private val workerHealth: WorkerHealth) {
    private var pages = 1
    private var publishedTerm: ULong? = null

    /** The summaries last written under [publishedTerm], by page. */
    private val published = HashMap<Int, ShardSummary>()
    private var nextSummaryNs = 0L
    private var nextImagesNs = 0L

    /** Writes the pages that have changed, unless the last run was too recent. */
    fun run(term: ULong) {
        if (context.nowNs < nextSummaryNs) return
        nextSummaryNs = afterHeartbeats(SUMMARY_HEARTBEATS)
        if (term != publishedTerm) {
            publishedTerm = term
            published.clear()
        }
        val statuses = statusesByPage()
        val isImageUpdateDue = context.nowNs >= nextImagesNs
        if (isImageUpdateDue) nextImagesNs = afterHeartbeats(IMAGES_HEARTBEATS)
        // Last page first: when pages split, rows are added to their new page before they are removed from the old one.
        for (page in statuses.indices.reversed()) {
            val previous = published[page]
            val current = ShardSummary(term, statuses[page], if (page == 0) zoneCoverage(previous) else null)
            if (current == previous) continue
            val isUrgent = previous == null || !differOnlyInImagesOrAddresses(previous, current)
            if (isUrgent || isImageUpdateDue) write(page, current, isUrgent)
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
                workerHealth.workerState(machine.name).toMachineStatus(workerHealth.health(machine.name))
        }
        return statuses
    }

    /**
     * Returns the heartbeat coverage by zone. Keeps the [previous] value of a zone if the new one is equivalent, to
     * save a write.
     */
    private fun zoneCoverage(previous: ShardSummary?): Map<String, ZoneCoverage>? {
        if (context.zones == null) return null
        return workerHealth.zoneCoverage().mapValues { (zone, current) ->
            previous?.zoneCoverage?.get(zone)?.takeIf { it.isEquivalentTo(current) } ?: current
        }
    }

    /** Whether the summaries differ at most in images and addresses. */
    private fun differOnlyInImagesOrAddresses(previous: ShardSummary, current: ShardSummary): Boolean =
        previous.zoneCoverage == current.zoneCoverage &&
            previous.machines.size == current.machines.size &&
            current.machines.all { (name, status) -> hasSameHealthAndIncarnation(previous.machines[name], status) }

    private fun hasSameHealthAndIncarnation(previous: MachineStatus?, current: MachineStatus): Boolean =
        previous != null && previous.health == current.health && previous.incarnation == current.incarnation

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
        /** The minimum time between two runs that write pages, in heartbeat intervals. */
        const val SUMMARY_HEARTBEATS = 0.4

        /** The minimum time between two writes of pages of which only images have changed, in heartbeat intervals. */
        const val IMAGES_HEARTBEATS = 1.5
    }
}
