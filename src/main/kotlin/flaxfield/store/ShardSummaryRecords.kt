package flaxfield.store

import flaxfield.arrays.MachineStatus
import flaxfield.arrays.ShardSummary
import flaxfield.membership.ShardAssignment
import flaxfield.zones.ZoneCoverage

/** The summaries that controllers publish of their shards, by page. Used only by the owner thread. */
internal class ShardSummaryRecords {
    private class StatusEntry(val term: ULong, val status: MachineStatus)

    private val byKey = HashMap<String, ShardSummary>()

    /** The status of each machine from the summary with the latest term. */
    private val statusByMachine = HashMap<String, StatusEntry>()

    fun clear() {
        byKey.clear()
        statusByMachine.clear()
    }

    /** Sets the page stored under [key]; a null [page] means that it was deleted. */
    fun set(key: String, page: ShardSummary?) {
        val old = if (page == null) byKey.remove(key) else byKey.put(key, page)
        old?.machines?.forEach { (machineName, status) -> removeStatus(machineName, status) }
        page?.machines?.forEach { (machineName, status) -> setStatus(machineName, page.term, status) }
    }

    /** Removes only the entry that came from the old page: the machine may already have moved to another page. */
    private fun removeStatus(machineName: String, status: MachineStatus) {
        if (statusByMachine[machineName]?.status === status) statusByMachine.remove(machineName)
    }

    private fun setStatus(machineName: String, term: ULong, status: MachineStatus) {
        val current = statusByMachine[machineName]
        if (current == null || current.term <= term) statusByMachine[machineName] = StatusEntry(term, status)
    }

    /** Returns the status of a machine that its owner has published under [term]; null without one. */
    fun status(machineName: String, term: ULong): MachineStatus? =
        statusByMachine[machineName]?.takeIf { it.term == term }?.status

    /** Returns the status of a machine that its most recent owner has published, under any term. */
    fun lastKnownStatus(machineName: String): MachineStatus? = statusByMachine[machineName]?.status

    /** Returns the zone coverage that members of [assignment] have published under its term, by member name. */
    fun zoneCoverage(assignment: ShardAssignment): Map<String, Map<String, ZoneCoverage>> {
        val result = HashMap<String, Map<String, ZoneCoverage>>()
        for (member in assignment.members) {
            val summary = byKey[StoreKeys.shardSummary(member.name, 0)]?.takeIf { it.term == assignment.term }
            summary?.zoneCoverage?.let { result[member.name] = it }
        }
        return result
    }
}
