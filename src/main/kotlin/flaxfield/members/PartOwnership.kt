package flaxfield.members

import flaxfield.fleet.Machine
import flaxfield.store.ClusterView

/**
 * Which member owns which machine under the assignment in [view], and which machines are this node's. Kept for as long
 * as a term lasts: a hash over every machine at each turn costs too much.
 */
class PartOwnership(private val view: ClusterView, private val me: Member, private val zones: Int) {
    private val owners = HashMap<String, String?>()
    private var ownersTerm: ULong? = null
    private var mine: List<Machine> = emptyList()
    private var mineAt = NEVER

    /** The member whose part [host], which lies in [zone], belongs to; null without an assignment. */
    fun owner(host: String, zone: String): String? {
        val assignment = view.assignment ?: return null
        if (assignment.term != ownersTerm ||
            owners.size > maxOf(OWNERS_KEPT, view.machines.size * OWNERS_PER_MACHINE)
        ) {
            owners.clear()
            ownersTerm = assignment.term
            mineAt = NEVER
        }
        return owners.getOrPut(host) { assignment.owner(host, zone, zones) }
    }

    /** The machines of this node's part. */
    fun mine(): List<Machine> {
        if (mineAt != view.machinesVersion || ownersTerm != view.assignment?.term) {
            mine = view.machines.values.filter { owner(it.name, it.zone) == me.name }
            mineAt = view.machinesVersion
        }
        return mine
    }

    private companion object {
        const val NEVER = -1L

        /** Names heard of and not known are forgotten with the rest at this many, */
        const val OWNERS_KEPT = 4_000

        /**
         * or at this many for each known machine: below that the table was made anew at each look-up of a larger fleet.
         */
        const val OWNERS_PER_MACHINE = 2
    }
}
