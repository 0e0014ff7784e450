package flaxfield.membership

/**
 * The leader, and the members among which the machines are divided. The [term] is the version of the assignment's key
 * and also the workers' fencing token.
 */
data class ShardAssignment(val leader: Member, val members: List<Member>, val term: ULong) {
    /** Whether [member] is one of the members, with the same incarnation. */
    fun contains(member: Member): Boolean = members.any { it.isSameProcess(member) }

    /**
     * Returns the name of the member that owns [machineName], by rendezvous hashing, or null if there are no members.
     *
     * Members in the machine's zone are preferred, so that a partitioned zone keeps its shards. If a zone has fewer
     * members than its share of [zones], its members own only as many machines as their share allows. The remaining
     * machines are spread over the members in other zones.
     */
    fun owner(machineName: String, zone: String, zones: Int): String? {
        val local = members.filter { it.zone == zone }
        val remote = members.filter { it.zone != zone }
        val localShare = local.size.toDouble() * zones / members.size
        val staysLocal =
            remote.isEmpty() || local.isNotEmpty() && RendezvousHash.fraction(machineName) < localShare
        val candidates = if (staysLocal) local else remote.ifEmpty { local }
        return candidates.maxByOrNull { RendezvousHash.weight(machineName, it.name) }?.name
    }
}
