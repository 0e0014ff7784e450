package flaxfield.membership

/** What a process has to write next for membership and leadership to be as they should. */
sealed interface MemberStep {
    /** Write its own member key, in place of an earlier run's. */
    data object Join : MemberStep

    /** Take the leader's key, which is absent or held by an earlier run of this very process. */
    data object Lead : MemberStep

    /** As the leader, begin a new term with [members]. */
    data class Assign(val members: List<Member>) : MemberStep
}
