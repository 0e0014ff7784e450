package flaxfield.membership

import flaxfield.fleet.Machine
import flaxfield.store.ClusterView

/**
 * Looks up the owners of machines under the assignment in [view]. The owners are cached for the duration of a term,
 * because hashing every machine name in each round is too expensive. Confined to the owner thread.
 *
 * @param zones the number of zones of the deployment
 */
class ShardOwnership(private val view: ClusterView, private val self: Member, private val zones: Int) {
    private val owners = HashMap<String, String?>()
    private var ownersTerm: ULong? = null
    private var owned: List<Machine> = emptyList()
    private var ownedAtVersion = NEVER

    /** Returns the name of the member that owns [machineName] in [zone], or null if there is no assignment. */
    fun owner(machineName: String, zone: String): String? {
        val assignment = view.assignment ?: return null
        if (assignment.term != ownersTerm || owners.size > maxCachedOwners()) {
            owners.clear()
            ownersTerm = assignment.term
            ownedAtVersion = NEVER
        }
        return owners.getOrPut(machineName) { assignment.owner(machineName, zone, zones) }
    }

    /** Whether [machineName] in [zone] belongs to this process's shard. */
    fun owns(machineName: String, zone: String): Boolean = owner(machineName, zone) == self.name

    /** Whether [machine] belongs to this process's shard. */
    fun owns(machine: Machine): Boolean = owns(machine.name, machine.zone)

    /** Returns the machines of this process's shard. */
    fun ownedMachines(): List<Machine> {
        if (ownedAtVersion != view.machinesVersion || ownersTerm != view.assignment?.term) {
            owned = view.machines.values.filter { owns(it) }
            ownedAtVersion = view.machinesVersion
        }
        return owned
    }

    /** The size at which the cache is cleared, because it may contain names that are not in the fleet. */
    private fun maxCachedOwners(): Int = maxOf(MIN_CACHED_OWNERS, view.machines.size * CACHED_OWNERS_PER_MACHINE)

    private companion object {
        const val NEVER = -1L
        const val MIN_CACHED_OWNERS = 4_000

        /** More than one per machine; otherwise the cache of a large fleet would be cleared at each lookup. */
        const val CACHED_OWNERS_PER_MACHINE = 2
    }
}
