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
 * The cluster at one revision of the state service. Immutable: any thread may read it, and whatever is computed from
 * it alone is the same on each controller that has reached [revision].
 */
data class FleetSnapshot(
    val revision: ULong = 0uL,
    val assignment: ShardAssignment? = null,
    val jobs: PersistentMap<String, Job> = persistentHashMapOf(),
    val machines: PersistentMap<String, Machine> = persistentHashMapOf(),
    /** The health of machines, as the shard summaries of their owners under the present term report it. */
    val machineStatuses: PersistentMap<String, MachineStatus> = persistentHashMapOf(),
    val machineTypes: Map<String, MachineType> = emptyMap(),
    val drains: PersistentMap<String, DrainRecord> = persistentHashMapOf(),
    val ledgers: PersistentMap<String, Ledger> = persistentHashMapOf(),
    /** The published fleet files, by controller name. */
    val configs: PersistentMap<String, FleetConfig> = persistentHashMapOf(),
    /** The version of each controller's loss mark, by controller name. */
    val lossMarks: PersistentMap<String, ULong> = persistentHashMapOf(),
    /** The state of zones; those that never failed have no record. */
    val zones: Map<String, ZoneRecord> = emptyMap(),
    /** Operators' orders to abandon what classes had in lost zones, by [AbandonOrder.name]. */
    val abandons: PersistentMap<String, AbandonOrder> = persistentHashMapOf(),
) {
    /** Names of members of the assignment that run without a fleet file, or have not published it yet. */
    fun membersWithoutConfig(): List<String> = assignment?.members.orEmpty()
        .filter { configs[it.name]?.incarnation != it.incarnation }
        .map { it.name }
        .sorted()

    /** The fleet files of all members combined; null unless each member has published its own. */
    fun policy(): FleetPolicy? {
        val members = assignment?.members.orEmpty()
        if (members.isEmpty() || membersWithoutConfig().isNotEmpty()) return null
        return FleetPolicy(members.mapNotNull { configs[it.name] })
    }
}
