package flaxfield.drain

import flaxfield.arrays.MachineStatus
import flaxfield.fleet.Machine
import flaxfield.fleet.MachineType
import flaxfield.jobs.Job
import flaxfield.membership.ShardAssignment
import flaxfield.zones.AbandonOrder
import flaxfield.zones.ZoneRecord
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * The state of the cluster at one revision of the state service. Immutable, so that any thread may read it. Functions
 * of a snapshot alone return the same result on each controller that has reached [revision].
 */
data class FleetSnapshot(
    val revision: ULong = 0uL,
    val assignment: ShardAssignment? = null,
    val jobs: PersistentMap<String, Job> = persistentHashMapOf(),
    val machines: PersistentMap<String, Machine> = persistentHashMapOf(),
    /** The health of machines, as their owners' shard summaries under the current term report it. */
    val machineStatuses: PersistentMap<String, MachineStatus> = persistentHashMapOf(),
    val machineTypes: Map<String, MachineType> = emptyMap(),
    val drains: PersistentMap<String, DrainRecord> = persistentHashMapOf(),
    val ledgers: PersistentMap<String, Ledger> = persistentHashMapOf(),
    /** The published fleet files, by controller name. */
    val configs: PersistentMap<String, FleetConfig> = persistentHashMapOf(),
    /** The version of each controller's loss record, by controller name. */
    val lossMarks: PersistentMap<String, ULong> = persistentHashMapOf(),
    /** The state of zones, by name; a zone that has never failed has no record. */
    val zones: Map<String, ZoneRecord> = emptyMap(),
    /** Operators' orders to abandon the tasks of job classes in lost zones, by [AbandonOrder.name]. */
    val abandons: PersistentMap<String, AbandonOrder> = persistentHashMapOf(),
) {
    /** Returns the names of the assignment's members that have no fleet file or have not published it yet. */
    fun membersWithoutConfig(): List<String> = assignment?.members.orEmpty()
        .filter { configs[it.name]?.incarnation != it.incarnation }
        .map { it.name }
        .sorted()

    /** Returns the combined fleet files of all members; null unless each member has published its own. */
    fun policy(): FleetPolicy? {
        val members = assignment?.members.orEmpty()
        if (members.isEmpty() || membersWithoutConfig().isNotEmpty()) return null
        return FleetPolicy(members.mapNotNull { configs[it.name] })
    }
}
