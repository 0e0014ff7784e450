package flaxfield.fleet

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext

/**
 * Reads the cloud's machine list page by page to detect failed and orphaned machines. The list is eventually consistent
 * and therefore only a hint, except that a failed machine stays failed. Confined to the owner thread; only the leader
 * uses it.
 */
class CloudInventory(
    private val context: ControllerContext,
    private val cloud: CloudClient,
    private val rateLimiter: CloudRateLimiter,
) {
    /** The machines on the pages read so far; the next page starts after [lastMachineName]. */
    private class PartialList(val lastMachineName: String?, val machines: List<ListedMachine>)

    private var requestInFlight = false

    /** The list that is being read; null while none is. */
    private var partialList: PartialList? = null
    private var nextListNs = 0L
    private val failed = HashSet<String>()
    private val orphanedMachines = OrphanedMachines()

    /** Whether the list that is being read has further pages. */
    val hasMorePages: Boolean get() = partialList != null

    /** Discards the partial list and the orphaned machines; called when this process is no longer the leader. */
    fun reset() {
        orphanedMachines.clear()
        partialList = null
        nextListNs = 0
    }

    /** Whether the cloud has listed [machineName] as failed. */
    fun isFailed(machineName: String): Boolean = machineName in failed

    /** Returns the machines that have been orphaned for longer than the list can lag behind. */
    fun orphaned(): List<String> {
        val graceNs = ((context.settings.listLagS * 2 + LISTED_AFTER_TERMINATION_S) * NANOS_PER_SECOND).toLong()
        return orphanedMachines.orphanedBefore(context.view.machines.keys, context.nowNs - graceNs)
    }

    /** Stops tracking [machineName], which has been returned. */
    fun remove(machineName: String) {
        orphanedMachines.remove(machineName)
        failed.remove(machineName)
    }

    /** Requests the next page, or a new list if one is due. Each page counts against the cloud's rate limit. */
    fun refresh() {
        if (requestInFlight || partialList == null && context.nowNs < nextListNs) return
        if (!rateLimiter.tryAcquire(context.nowNs)) return
        requestInFlight = true
        val previousPages = partialList ?: PartialList(null, emptyList())
        cloud.listMachines(previousPages.lastMachineName) { page -> context.post { onPage(previousPages, page) } }
    }

    private fun onPage(previousPages: PartialList, page: MachineListPage?) {
        requestInFlight = false
        partialList = null
        if (page == null) {
            nextListNs = context.nowNs + listLagNs()
            return
        }
        val machines = previousPages.machines + page.machines
        if (page.hasMore && page.machines.isNotEmpty()) {
            partialList = PartialList(page.machines.last().machineName, machines)
        } else {
            onList(machines)
        }
    }

    private fun onList(machines: List<ListedMachine>) {
        nextListNs = context.nowNs + listLagNs()
        val known = context.view.machines.keys
        for (machine in machines) {
            if (machine.failed && machine.machineName in known) failed += machine.machineName
        }
        orphanedMachines.update(machines.map { it.machineName }, known, context.nowNs)
    }

    private fun listLagNs(): Long = (context.settings.listLagS * NANOS_PER_SECOND).toLong()

    private companion object {
        /** PROTOCOL-flaxfield.md: a terminated machine stays listed for about 30 s. */
        const val LISTED_AFTER_TERMINATION_S = 30.0
    }
}
