package flaxfield.controller

import flaxfield.NANOS_PER_SECOND
import flaxfield.store.ReadResult
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause

/**
 * Asks the store for its current revision while nothing changes. A watch answers only when something changes: in quiet
 * times the view is up to date without this process knowing it, and workers' leases depend on that knowledge.
 */
internal class RevisionProbe(private val context: ControllerContext) {
    private var isOpen = false
    private var nextNs = 0L

    /** Half of what counts as fresh: one answer may be lost. */
    private val intervalNs =
        (context.settings.workers.heartbeatIntervalS * INTERVAL_HEARTBEATS * NANOS_PER_SECOND).toLong()

    /** Sends a probe if the view's age is not known to be below the interval and none is under way. */
    fun tick() {
        val nowNs = context.nowNs
        if (isOpen || nowNs < nextNs || context.viewFreshness.within(intervalNs, nowNs)) return
        if (!context.transactions.budget.take(WriteCause.LEASE, 0, nowNs)) return
        isOpen = true
        nextNs = nowNs + intervalNs
        context.store.get(StoreKeys.REVISION_PROBE) { result -> context.post { take(result, nowNs) } }
    }

    private fun take(result: ReadResult, sentNs: Long) {
        isOpen = false
        if (result !is ReadResult.Absent) return
        context.storeContact.noteResponse()
        context.viewFreshness.read(sentNs, result.revision)
        context.viewFreshness.reached(context.view.revision)
    }

    private companion object {
        const val INTERVAL_HEARTBEATS = 0.5
    }
}
