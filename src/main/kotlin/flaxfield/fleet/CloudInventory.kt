package flaxfield.fleet

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext

/**
 * Reads the cloud's list of machines page by page, and knows from it which machines have stopped by themselves and
 * which are orphaned. The list lags behind, so that it is a hint only, except that a failed machine stays failed. Owned
 * by the owner thread; only the leader uses it.
 */
class CloudInventory(
    private val context: ControllerContext,
    private val cloud: CloudClient,
    private val rateLimiter: CloudRateLimiter,
) {
    /** The pages read so far of one list; the next one starts after the machine named [from]. */
    private class PartialList(val from: String?, val machines: List<ListedMachine>)

    private var requestOpen = false

    /** The list that is being read; null between two lists. */
    private var partial: PartialList? = null
    private var nextListNs = 0L
    private val failed = HashSet<String>()
    private val orphanedMachines = OrphanedMachines()

    /** Whether further pages of a list are to be read. */
    val isReading: Boolean get() = partial != null

    /** Drops what earlier lists told; called when this process is no longer leader. */
    fun reset() {
        orphanedMachines.clear()
        partial = null
        nextListNs = 0
    }

    /** Whether the cloud has listed [machineName] as stopped by itself. */
    fun isFailed(machineName: String): Boolean = machineName in failed

    /** Machines that have been orphaned for longer than the list can lag behind. */
    fun orphaned(): List<String> {
        val graceNs = ((context.settings.listLagS * 2 + LISTED_AFTER_END_S) * NANOS_PER_SECOND).toLong()
        return orphanedMachines.orphanedBefore(context.view.machines.keys, context.nowNs - graceNs)
    }

    /** Drops [machineName], which has been returned. */
    fun remove(machineName: String) {
        orphanedMachines.remove(machineName)
        failed.remove(machineName)
    }

    /** Requests the next page when it is due. Each page counts against the cloud's rate limit. */
    fun refresh() {
        if (requestOpen || partial == null && context.nowNs < nextListNs) return
        if (!rateLimiter.tryAcquire(context.nowNs)) return
        requestOpen = true
        val pagesBefore = partial ?: PartialList(null, emptyList())
        cloud.listMachines(pagesBefore.from) { page -> context.post { onPage(pagesBefore, page) } }
    }

    private fun onPage(pagesBefore: PartialList, page: MachineListPage?) {
        requestOpen = false
        partial = null
        if (page == null) {
            nextListNs = context.nowNs + listLagNs()
            return
        }
        val machines = pagesBefore.machines + page.machines
        if (page.hasMore && page.machines.isNotEmpty()) {
            partial = PartialList(page.machines.last().machineName, machines)
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
        /** PROTOCOL-flaxfield.md: a machine that has ended stays listed for about 30 s more. */
        const val LISTED_AFTER_END_S = 30.0
    }
}
