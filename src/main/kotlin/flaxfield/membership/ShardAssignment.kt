package flaxfield.membership

/**
 * Which process leads, and which processes share the machines. The version of its key is the [term], which is also the
 * workers' fencing token.
 */
data class ShardAssignment(val leader: Member, val members: List<Member>, val term: ULong) {
    /** Whether [member] is one of the members, in this very run. */
    fun contains(member: Member): Boolean = members.any { it.isSameProcess(member) }

    /**
     * The member whose shard [machineName] belongs to, by rendezvous hashing; null without members.
     *
     * Members in the machine's own zone come first, so that a zone that is cut off keeps its shards. Where a zone has
     * fewer members than its share of [zones], only as many of its machines stay there as its members can carry; the
     * rest is spread over the other zones' members.
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
