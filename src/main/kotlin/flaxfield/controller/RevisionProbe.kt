package flaxfield.controller

import flaxfield.NANOS_PER_SECOND
import flaxfield.store.ReadResult
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause

/**
 * Reads the store's current revision while no changes arrive. A watch returns only on a change or at its
 * timeout, so without probes this process could not prove that its view is up to date. The renewal of workers' leases
 * requires that proof.
 */
internal class RevisionProbe(private val context: ControllerContext) {
    private var isInFlight = false
    private var nextProbeNs = 0L

    /** Half of the age at which a view still counts as fresh, so that one response may be lost. */
    private val intervalNs =
        (context.settings.workers.heartbeatIntervalS * INTERVAL_HEARTBEATS * NANOS_PER_SECOND).toLong()

    /** Sends a probe if none is in flight and the view may be older than the probe interval. */
    fun tick() {
        val nowNs = context.nowNs
        if (isInFlight || nowNs < nextProbeNs || context.viewFreshness.isWithin(intervalNs, nowNs)) return
        if (!context.transactions.budget.take(WriteCause.LEASE, 0, nowNs)) return
        isInFlight = true
        nextProbeNs = nowNs + intervalNs
        context.store.get(StoreKeys.REVISION_PROBE) { result -> context.post { receive(result, nowNs) } }
    }

    private fun receive(result: ReadResult, sentNs: Long) {
        isInFlight = false
        if (result !is ReadResult.Absent) return
        context.storeContact.noteResponse()
        context.viewFreshness.recordRead(sentNs, result.revision)
        context.viewFreshness.onViewReached(context.view.revision)
    }

    private companion object {
        const val INTERVAL_HEARTBEATS = 0.5
    }
}
