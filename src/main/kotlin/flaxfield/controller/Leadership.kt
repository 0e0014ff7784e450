package flaxfield.controller

import flaxfield.membership.Member
import flaxfield.store.ClusterView

/** Whether this process is a member or the leader of the cluster, judged by its view and its own lease. */
class Leadership(private val view: ClusterView, private val self: Member, private val clock: Clock) {
    /** A lower bound on the expiry of this process's lease in the store, in monotonic nanoseconds. */
    var leaseUntilNs: Long = 0

    /** Whether this process's lease in the store is guaranteed to be valid now. */
    fun leaseValid(): Boolean = clock.monotonicNs() < leaseUntilNs

    /** The current term, which is also the workers' fencing token; null if this process is not a member in it. */
    fun term(): ULong? = view.assignment?.takeIf { it.contains(self) }?.term

    /** Whether this process may make decisions now: it is a member and its lease is guaranteed to be valid. */
    fun mayAct(): Boolean = term() != null && leaseValid()

    /** Whether this process is the leader: it may act, and both the assignment and the leader key name it. */
    fun isLeader(): Boolean =
        mayAct() && view.assignment?.leader?.isSameProcess(self) == true && view.leader?.isSameProcess(self) == true
}
