package flaxfield.membership

import flaxfield.codec.FieldMap

/** One run of one process: its name and the random number drawn at its start. */
data class Member(val name: String, val incarnation: String, val zone: String) {
    fun isSameProcess(o: Member?): Boolean = o != null && o.name == name && o.incarnation == incarnation
}

/** Who leads and which processes share the machines. Its key's version is the term and the workers' epoch. */
data class ShardAssignment(val leader: Member, val members: List<Member>, val term: ULong) {
    fun has(m: Member): Boolean = members.any { it.isSameProcess(m) }

    /**
     * The member whose part [machineName] belongs to: the highest draw wins (rendezvous hashing). Members in the
     * machine's own zone come first, so that a zone that is cut off keeps its parts; but where a zone has
     * fewer members than its share of [zones], only as many of its machines as these can carry: the one
     * controller of a zone with half of all machines spent more than its share on their reports.
     */
    fun owner(machineName: String, zone: String, zones: Int): String? {
        val near = members.filter { it.zone == zone }
        val far = members.filter { it.zone != zone }
        val carried = near.size.toDouble() * zones / members.size
        val stays = far.isEmpty() || near.isNotEmpty() && draw(machineName) < carried
        return (if (stays) near else far.ifEmpty { near }).maxByOrNull { mix(machineName, it.name) }?.name
    }

    /** Between 0 and 1, the same for a host at all times. */
    private fun draw(machineName: String): Double =
        (mix(machineName, "") shr DRAW_SHIFT).toDouble() / (1uL shl (ULong.SIZE_BITS - DRAW_SHIFT)).toDouble()

    private fun mix(machineName: String, name: String): ULong {
        var h = FNV_START
        for (c in machineName) h = (h xor c.code.toULong()) * FNV_PRIME
        h = (h xor '|'.code.toULong()) * FNV_PRIME
        for (c in name) h = (h xor c.code.toULong()) * FNV_PRIME
        // FNV alone leaves the last letters in the low bits: names that end alike would share hosts.
        h = (h xor (h shr 33)) * FINISH_1
        h = (h xor (h shr 33)) * FINISH_2
        return h xor (h shr 33)
    }

    private companion object {
        const val DRAW_SHIFT = 40
        const val FNV_START = 0xcbf29ce484222325uL
        const val FNV_PRIME = 0x100000001b3uL
        const val FINISH_1 = 0xff51afd7ed558ccduL
        const val FINISH_2 = 0xc4ceb9fe1a85ec53uL
    }
}

object MemberCodec {
    fun encode(m: Member): Map<String, Any?> = mapOf("name" to m.name, "run" to m.incarnation, "zone" to m.zone)

    fun member(o: FieldMap) = Member(o.requireText("name"), o.requireText("run"), o.text("zone").orEmpty())

    fun encode(leader: Member, members: List<Member>): Map<String, Any?> =
        mapOf("leader" to encode(leader), "members" to members.map(::encode))

    fun assignment(o: FieldMap, version: ULong) = ShardAssignment(
        member(o.requireMap("leader")),
        o.mapList("members").map(::member),
        version,
    )
}

/** What the membership slice wants written next. */
sealed interface MemberStep {
    /** Write our own member key, replacing an earlier run's. */
    data object Join : MemberStep

    /** Take the leader's key: it is absent, or held by an earlier run of this very process. */
    data object Lead : MemberStep

    data class Assign(val members: List<Member>) : MemberStep
}

/** Pure decisions on membership and leadership. */
object MemberRules {
    /** The next step of [self], or null if all is as it should be. */
    fun next(self: Member, members: Collection<Member>, leader: Member?, assignment: ShardAssignment?): MemberStep? {
        if (members.none { it.isSameProcess(self) }) return MemberStep.Join
        // An earlier run of this name is dead for sure: one process at a time runs under a name.
        if (leader == null || (leader.name == self.name && !leader.isSameProcess(self))) return MemberStep.Lead
        if (!leader.isSameProcess(self)) return null
        val wanted = members.sortedBy { it.name }
        val current = assignment?.members?.sortedBy { it.name }
        val mine = assignment != null && assignment.leader.isSameProcess(self)
        return if (mine && current == wanted) null else MemberStep.Assign(wanted)
    }
}
