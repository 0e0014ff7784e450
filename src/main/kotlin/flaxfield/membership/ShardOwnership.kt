package flaxfield.membership

import flaxfield.fleet.Machine
import flaxfield.store.ClusterView

/**
 * Which member owns which machine under the assignment in [view], and which machines this process owns. Cached for as
 * long as a term lasts, since hashing every machine's name in each round costs too much. Owned by the owner thread.
 *
 * @param zones how many zones the deployment has
 */
class ShardOwnership(private val view: ClusterView, private val self: Member, private val zones: Int) {
    private val owners = HashMap<String, String?>()
    private var ownersTerm: ULong? = null
    private var owned: List<Machine> = emptyList()
    private var ownedAtVersion = NEVER

    /** The member whose shard [machineName], which lies in [zone], belongs to; null without an assignment. */
    fun owner(machineName: String, zone: String): String? {
        val assignment = view.assignment ?: return null
        if (assignment.term != ownersTerm || owners.size > maxOwners()) {
            owners.clear()
            ownersTerm = assignment.term
            ownedAtVersion = NEVER
        }
        return owners.getOrPut(machineName) { assignment.owner(machineName, zone, zones) }
    }

    /** Whether [machineName], which lies in [zone], belongs to this process's shard. */
    fun owns(machineName: String, zone: String): Boolean = owner(machineName, zone) == self.name

    /** Whether [machine] belongs to this process's shard. */
    fun owns(machine: Machine): Boolean = owns(machine.name, machine.zone)

    /** The machines of this process's shard. */
    fun ownedMachines(): List<Machine> {
        if (ownedAtVersion != view.machinesVersion || ownersTerm != view.assignment?.term) {
            owned = view.machines.values.filter { owns(it) }
            ownedAtVersion = view.machinesVersion
        }
        return owned
    }

    /** Names of machines that the fleet does not know are dropped, with all others, beyond this many. */
    private fun maxOwners(): Int = maxOf(MIN_OWNERS_KEPT, view.machines.size * OWNERS_PER_MACHINE)

    private companion object {
        const val NEVER = -1L
        const val MIN_OWNERS_KEPT = 4_000

        /** More than one a machine, or the cache of a large fleet would be dropped at each look-up. */
        const val OWNERS_PER_MACHINE = 2
    }
}
