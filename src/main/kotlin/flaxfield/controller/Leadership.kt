package flaxfield.controller

import flaxfield.membership.Member
import flaxfield.store.ClusterView

/** Whether this process is a member of the cluster and its leader, as far as its view and its own lease tell. */
class Leadership(private val view: ClusterView, private val self: Member, private val clock: Clock) {
    /** This process's lease in the store is surely valid until then, by the monotonic clock. */
    var leaseUntilNs: Long = 0

    /** Whether this process's lease in the store is surely valid now. */
    fun leaseValid(): Boolean = clock.monotonicNs() < leaseUntilNs

    /** The current term, which is also the workers' fencing token, if this process is a member under it; else null. */
    fun term(): ULong? = view.assignment?.takeIf { it.contains(self) }?.term

    /** Whether this process may decide now: a member whose lease is surely valid. */
    fun mayAct(): Boolean = term() != null && leaseValid()

    /** Whether this process is the leader: it may act, and both the assignment and the leader's key name it. */
    fun isLeader(): Boolean =
        mayAct() && view.assignment?.leader?.isSameProcess(self) == true && view.leader?.isSameProcess(self) == true
}
