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
 * Scale in: returns retiring and orphaned machines to the cloud, and deletes their records afterwards. Owned by the
 * owner thread; only the leader uses it.
 */
class ScaleInReconciler(
    private val context: ControllerContext,
    private val cloud: CloudClient,
    private val rateLimiter: CloudRateLimiter,
    private val taskEvents: TaskEventCommitter,
) {
    private val inventory = CloudInventory(context, cloud, rateLimiter)
    private var requestOpen = false

    /** Machines whose return has been answered, while their records still exist. */
    private val returned = HashSet<String>()

    /** Does what is due. */
    fun run() {
        deleteReturned()
        // A new list comes before returns, since behind them it would be late for what it tells; the further pages of a
        // long list come after them, since there may be many.
        if (inventory.isReading) {
            returnMachines()
            inventory.refresh()
        } else {
            inventory.refresh()
            returnMachines()
        }
    }

    /** Drops what this process knew as leader. */
    fun reset() {
        inventory.reset()
        returned.clear()
    }

    /** Whether the cloud has listed [machineName] as stopped by itself. */
    fun isFailed(machineName: String): Boolean = inventory.isFailed(machineName)

    private fun returnMachines() {
        if (requestOpen) return
        val orphaned = inventory.orphaned()
        val names = (retiringMachines() + orphaned).take(MAX_PER_RETURN)
        if (names.isEmpty() || !rateLimiter.tryAcquire(context.nowNs)) return
        requestOpen = true
        cloud.returnMachines(names) { succeeded ->
            context.post {
                requestOpen = false
                log.info("event=machines_returned machines={} succeeded={}", names, succeeded)
                if (succeeded) onReturned(names)
            }
        }
    }

    private fun retiringMachines(): List<String> {
        val due = context.view.machines.values.filter {
            it.phase == MachinePhase.RETIRING &&
                it.name !in returned &&
                !context.transactions.isWritePending(StoreKeys.MACHINE + it.name) &&
                context.zones?.mayReturn(it) ?: true
        }
        return ScaleInOrder.sort(context, due).map { it.name }
    }

    /**
     * The answer to a return proves that the machines and all that ran on them are gone. Nothing can be placed on them
     * any more: a placement has the machine's version as condition, and its retirement has changed that.
     */
    private fun onReturned(machineNames: List<String>) {
        for (machineName in machineNames) {
            inventory.remove(machineName)
            val machine = context.view.machines[machineName] ?: continue
            if (!context.leadership.isLeader()) continue
            // A machine that was returned as orphaned and got its record meanwhile may still be given tasks: it is
            // retired and returned once more.
            if (machine.phase == MachinePhase.RETIRING) returned += machineName
            for (task in context.view.on(machineName)) {
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

    /** Deletes the records of returned machines, once those of their tasks are gone. */
    private fun deleteReturned() {
        if (returned.isEmpty()) return
        val view = context.view
        returned.retainAll(view.machines.keys)
        val deletable = returned.mapNotNull { view.machines[it] }.filter {
            view.isEmpty(it.name) && !context.transactions.isWritePending(StoreKeys.MACHINE + it.name)
        }
        for (batch in deletable.chunked(context.transactions.budget.bulk(context.settings.stateLimits.txnOps))) {
            val versions = batch.associate { StoreKeys.MACHINE + it.name to it.version }
            val deletions = batch.map { Change.Delete(StoreKeys.MACHINE + it.name) }
            val transaction = Transaction(JobTransactions.assignmentFence(context) + versions, deletions)
            if (!context.transactions.submit(WriteCause.FLEET, transaction)) return
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.fleet")

        /** PROTOCOL-flaxfield.md: at most so many names in one return. */
        const val MAX_PER_RETURN = 100
    }
}
