package flaxfield.fleet

import flaxfield.controller.ControllerContext
import flaxfield.jobs.JobTransactions
import flaxfield.jobs.TaskEvent
import flaxfield.jobs.TaskEventCommitter
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/**
 * Scales in: returns retiring and orphaned machines to the cloud, and then deletes their records. Confined to the owner
 * thread; only the leader uses it.
 */
class ScaleInReconciler(
    private val context: ControllerContext,
    private val cloud: CloudClient,
    private val rateLimiter: CloudRateLimiter,
    private val taskEvents: TaskEventCommitter,
) {
    private val inventory = CloudInventory(context, cloud, rateLimiter)
    private var requestInFlight = false

    /** Machines that have been returned, but whose records still exist. */
    private val returned = HashSet<String>()

    /** Runs one reconciliation pass. */
    fun run() {
        deleteReturned()
        // Lists and returns share the rate limit. A new list comes first, since a late one would delay the detection of
        // failed and orphaned machines. Further pages of a list come after returns, since there may be many.
        if (inventory.hasMorePages) {
            returnMachines()
            inventory.refresh()
        } else {
            inventory.refresh()
            returnMachines()
        }
    }

    /** Discards the leader's state; called when this process is no longer the leader. */
    fun reset() {
        inventory.reset()
        returned.clear()
    }

    /** Whether the cloud has listed [machineName] as failed. */
    fun isFailed(machineName: String): Boolean = inventory.isFailed(machineName)

    private fun returnMachines() {
        if (requestInFlight) return
        val orphaned = inventory.orphaned()
        val names = (retiringMachines() + orphaned).take(MAX_PER_RETURN)
        if (names.isEmpty() || !rateLimiter.tryAcquire(context.nowNs)) return
        requestInFlight = true
        cloud.returnMachines(names) { succeeded ->
            context.post {
                requestInFlight = false
                log.info(
                    "event=machines_returned machines={} outcome={}",
                    names,
                    if (succeeded) "succeeded" else "failed",
                )
                if (succeeded) onReturned(names)
            }
        }
    }

    private fun retiringMachines(): List<String> {
        val returnable = context.view.machines.values.filter {
            it.phase == MachinePhase.RETIRING &&
                it.name !in returned &&
                !context.transactions.isWritePending(StoreKeys.MACHINE + it.name) &&
                context.zones?.mayReturn(it) ?: true
        }
        return ScaleInOrder.sort(context, returnable).map { it.name }
    }

    /**
     * Records the loss of the tasks on returned machines. A successful return proves that the machines and everything
     * on them are terminated. No new task can be placed on them: a placement is conditional on the version of the
     * machine's record, which its retirement has changed.
     */
    private fun onReturned(machineNames: List<String>) {
        for (machineName in machineNames) {
            inventory.remove(machineName)
            val machine = context.view.machines[machineName] ?: continue
            if (!context.leadership.isLeader()) continue
            // A machine that was returned as orphaned may have got its record in the meantime, and may still be given
            // tasks. It is retired and returned again.
            if (machine.phase == MachinePhase.RETIRING) returned += machineName
            for (task in context.view.placedTasksOn(machineName)) {
                val event = TaskEvent.Lost(
                    task.job.id,
                    task.placed.index,
                    task.placed.attempt,
                    machineName,
                    "machine returned",
                    false,
                    outcomeUnknown = true,
                )
                taskEvents.add(event)
            }
        }
        deleteReturned()
    }

    /** Deletes the records of returned machines that have no task records left. */
    private fun deleteReturned() {
        if (returned.isEmpty()) return
        val view = context.view
        returned.retainAll(view.machines.keys)
        val deletable = returned.mapNotNull { view.machines[it] }.filter {
            view.isEmpty(it.name) && !context.transactions.isWritePending(StoreKeys.MACHINE + it.name)
        }
        for (batch in deletable.chunked(
            context.transactions.budget.maxBulkChanges(context.settings.stateLimits.txnOps),
        )) {
            val versions = batch.associate { StoreKeys.MACHINE + it.name to it.version }
            val deletions = batch.map { Change.Delete(StoreKeys.MACHINE + it.name) }
            val transaction = Transaction(JobTransactions.assignmentFence(context) + versions, deletions)
            if (!context.transactions.submit(WriteCause.FLEET, transaction)) return
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.fleet")

        /** PROTOCOL-flaxfield.md: the maximum number of machines in one return. */
        const val MAX_PER_RETURN = 100
    }
}
