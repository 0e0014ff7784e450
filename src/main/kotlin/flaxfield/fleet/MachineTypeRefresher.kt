package flaxfield.fleet

import flaxfield.MILLIS_PER_SECOND
import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.jobs.JobTransactions
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.WriteCause

/**
 * Keeps the stored machine types and their prices in sync with the cloud. Confined to the owner thread; only the leader
 * uses it.
 */
class MachineTypeRefresher(
    private val context: ControllerContext,
    private val cloud: CloudClient,
    private val rateLimiter: CloudRateLimiter,
) {
    private var requestInFlight = false
    private var nextRequestNs = 0L

    /** Resets the time of the next request; called when this process is no longer the leader. */
    fun reset() {
        nextRequestNs = 0
    }

    /** Requests the machine types if the stored ones are missing or old. */
    fun refresh() {
        if (requestInFlight || context.nowNs < nextRequestNs) return
        if (context.transactions.isWritePending(StoreKeys.MACHINE_TYPES)) return
        if (isStoredCopyRecent() || !rateLimiter.tryAcquire(context.nowNs)) return
        requestInFlight = true
        cloud.machineTypes { machineTypes -> context.post { onResponse(machineTypes) } }
    }

    private fun isStoredCopyRecent(): Boolean = context.view.machineTypes.isNotEmpty() &&
        context.nowMs - context.view.machineTypesWrittenMs < REFRESH_INTERVAL_S * MILLIS_PER_SECOND

    private fun onResponse(machineTypes: Map<String, MachineType>?) {
        requestInFlight = false
        // No job can be scheduled without machine types, and their write may conflict with a new assignment. They are
        // requested at this short interval until the view has them, and later only when they are out of date.
        val retryS = context.settings.workers.heartbeatIntervalS * RETRY_HEARTBEATS
        nextRequestNs = context.nowNs + (retryS * NANOS_PER_SECOND).toLong()
        if (machineTypes != null && context.leadership.isLeader()) store(machineTypes.values)
    }

    private fun store(machineTypes: Collection<MachineType>) {
        val key = StoreKeys.MACHINE_TYPES
        val conditions = JobTransactions.assignmentFence(context) + (key to context.view.version(key))
        val put = Change.Put(key, FleetCodec.encodeMachineTypes(machineTypes, context.nowMs))
        context.transactions.submit(WriteCause.FLEET, Transaction(conditions, listOf(put)))
    }

    private companion object {
        /** Stored machine types older than this are requested again, since prices change. */
        const val REFRESH_INTERVAL_S = 60.0

        /** The time between two requests while the machine types are missing, in heartbeat intervals. */
        const val RETRY_HEARTBEATS = 0.5
    }
}
