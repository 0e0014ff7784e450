package flaxfield.store

import flaxfield.arrays.MachineStatus
import flaxfield.arrays.ShardSummary
import flaxfield.membership.ShardAssignment
import flaxfield.zones.ZoneCoverage

/** The summaries that controllers write of their shards, page by page. Owned by the owner thread. */
internal class ShardSummaryRecords {
    private class StatusRow(val term: ULong, val status: MachineStatus)

    private val byKey = HashMap<String, ShardSummary>()

    /** Each machine's row in the summary written under the latest term. */
    private val statusByMachine = HashMap<String, StatusRow>()

    fun clear() {
        byKey.clear()
        statusByMachine.clear()
    }

    /** Takes in the page stored under [key]; a null [page] says that it was deleted. */
    fun set(key: String, page: ShardSummary?) {
        val old = if (page == null) byKey.remove(key) else byKey.put(key, page)
        old?.machines?.forEach { (machineName, status) -> removeStatus(machineName, status) }
        page?.machines?.forEach { (machineName, status) -> setStatus(machineName, page.term, status) }
    }

    /** The row may have moved to another page already: only the very row of the old page goes. */
    private fun removeStatus(machineName: String, status: MachineStatus) {
        if (statusByMachine[machineName]?.status === status) statusByMachine.remove(machineName)
    }

    private fun setStatus(machineName: String, term: ULong, status: MachineStatus) {
        val held = statusByMachine[machineName]
        if (held == null || held.term <= term) statusByMachine[machineName] = StatusRow(term, status)
    }

    /** The state of a machine as its owner under [term] has written it. */
    fun status(machineName: String, term: ULong): MachineStatus? =
        statusByMachine[machineName]?.takeIf { it.term == term }?.status

    /** The state of a machine from whichever owner wrote it last. */
    fun lastKnownStatus(machineName: String): MachineStatus? = statusByMachine[machineName]?.status

    /** What each member of [assignment] has written under its term of the zones that it hears, by member name. */
    fun zoneCoverage(assignment: ShardAssignment): Map<String, Map<String, ZoneCoverage>> {
        val result = HashMap<String, Map<String, ZoneCoverage>>()
        for (member in assignment.members) {
            val summary = byKey[StoreKeys.shardSummary(member.name, 0)]?.takeIf { it.term == assignment.term }
            summary?.zoneCoverage?.let { result[member.name] = it }
        }
        return result
    }
}
