package flaxfield.membership

/** Decisions on membership and leadership. Pure. */
object MemberRules {
    /** The next step of [self], or null if all is as it should be. */
    fun next(self: Member, members: Collection<Member>, leader: Member?, assignment: ShardAssignment?): MemberStep? {
        if (members.none { it.isSameProcess(self) }) return MemberStep.Join
        if (leader == null || isEarlierRun(leader, self)) return MemberStep.Lead
        if (!leader.isSameProcess(self)) return null
        val wanted = members.sortedBy { it.name }
        return if (isInForce(assignment, self, wanted)) null else MemberStep.Assign(wanted)
    }

    /** An earlier run of the same name has surely ended: one process at a time runs under a name. */
    private fun isEarlierRun(leader: Member, self: Member) = leader.name == self.name && !leader.isSameProcess(self)

    private fun isInForce(assignment: ShardAssignment?, leader: Member, members: List<Member>): Boolean =
        assignment != null &&
            assignment.leader.isSameProcess(leader) &&
            assignment.members.sortedBy { it.name } == members
}
