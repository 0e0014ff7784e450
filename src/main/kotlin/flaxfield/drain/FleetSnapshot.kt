package flaxfield.drain

import flaxfield.arrays.MachineStatus
import flaxfield.fleet.Machine
import flaxfield.fleet.MachineType
import flaxfield.jobs.Job
import flaxfield.membership.ShardAssignment
import flaxfield.store.StoreKeys
import flaxfield.zones.AbandonOrder
import flaxfield.zones.ZoneRecord
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * The cluster at one revision of the state service. Immutable: any thread may read it, and whatever is worked out from
 * it alone is the same on each node that has reached [revision].
 */
data class FleetSnapshot(
    val revision: ULong = 0uL,
    val assignment: ShardAssignment? = null,
    val jobs: PersistentMap<String, Job> = persistentHashMapOf(),
    val machines: PersistentMap<String, Machine> = persistentHashMapOf(),
    /** How machines stand, as their owners' summaries under the present term tell. */
    val machineStatuses: PersistentMap<String, MachineStatus> = persistentHashMapOf(),
    val machineTypes: Map<String, MachineType> = emptyMap(),
    val drains: PersistentMap<String, DrainRecord> = persistentHashMapOf(),
    val ledgers: PersistentMap<String, Ledger> = persistentHashMapOf(),
    /** What each controller's fleet file says, by the controller's name. */
    val configs: PersistentMap<String, FleetConfig> = persistentHashMapOf(),
    /** The version of each controller's loss mark. */
    val lossMarks: PersistentMap<String, ULong> = persistentHashMapOf(),
    /** How zones stand; those that never failed have no record. */
    val zones: Map<String, ZoneRecord> = emptyMap(),
    /** Operators' orders to give up on what classes had in lost zones, by [AbandonOrder.name]. */
    val abandons: PersistentMap<String, AbandonOrder> = persistentHashMapOf(),
) {
    /** Members of the assignment that do not run with a fleet file, or have not published it yet. */
    fun membersWithoutConfig(): List<String> = assignment?.members.orEmpty()
        .filter { configs[it.name]?.incarnation != it.incarnation }
        .map { it.name }
        .sorted()

    /** What all members' files say together; null unless each has published its own. */
    fun policy(): FleetPolicy? {
        val members = assignment?.members.orEmpty()
        if (members.isEmpty() || membersWithoutConfig().isNotEmpty()) return null
        return FleetPolicy(members.mapNotNull { configs[it.name] })
    }
}

/** Keys of the drain records. */
object FleetKeys {
    const val DRAIN = StoreKeys.FLEET + "drain/"
    const val LEDGER = StoreKeys.FLEET + "ledger/"
    const val CONFIG = StoreKeys.FLEET + "config/"
    const val LOSS = StoreKeys.FLEET + "loss/"
    const val ABANDON = StoreKeys.FLEET + "abandon/"
}
