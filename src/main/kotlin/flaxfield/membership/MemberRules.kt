package flaxfield.membership

/** Decides on membership and leadership. All functions are pure. */
object MemberRules {
    /** Returns the next step of [self], or null if none is needed. */
    fun nextStep(
        self: Member,
        members: Collection<Member>,
        leader: Member?,
        assignment: ShardAssignment?,
    ): MemberStep? {
        if (members.none { it.isSameProcess(self) }) return MemberStep.Join
        if (leader == null || isEarlierRun(leader, self)) return MemberStep.Lead
        if (!leader.isSameProcess(self)) return null
        val expectedMembers = members.sortedBy { it.name }
        return if (isCurrent(assignment, self, expectedMembers)) null else MemberStep.Assign(expectedMembers)
    }

    /** Whether [leader] is an earlier run of [self], which must have ended: at most one process runs under a name. */
    private fun isEarlierRun(leader: Member, self: Member) = leader.name == self.name && !leader.isSameProcess(self)

    private fun isCurrent(assignment: ShardAssignment?, leader: Member, members: List<Member>): Boolean =
        assignment != null &&
            assignment.leader.isSameProcess(leader) &&
            assignment.members.sortedBy { it.name } == members
}
