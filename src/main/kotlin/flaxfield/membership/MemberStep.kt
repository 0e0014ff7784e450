package flaxfield.membership

/** The next write that a process makes to establish its membership or leadership. */
sealed interface MemberStep {
    /** Writes this process's member key, replacing that of an earlier run. */
    data object Join : MemberStep

    /** Takes the leader key, which is absent or held by an earlier run of this process. */
    data object Lead : MemberStep

    /** Starts a new term with [members], as the leader. */
    data class Assign(val members: List<Member>) : MemberStep
}
