package flaxfield.store

/**
 * An upper bound on the age of the view. It counts from [sinceNs], when a read of the revision that the view has
 * reached was sent: all that was committed before it, and so all that users were told before it, is in the view. Any
 * other answer shows contact and no more: a lease is renewed also while the view stands still. Owned by the owner
 * thread.
 */
class ViewFreshness {
    private class RevisionRead(val sentNs: Long, val revision: ULong)

    /** Reads whose revision the view has not reached yet, the oldest first. */
    private val awaited = ArrayDeque<RevisionRead>()

    /** Null until the view has been complete once: such a process knows nothing, and keeps nothing alive. */
    var sinceNs: Long? = null
        private set

    /** A read sent at [sentNs] told [revision]; it counts once [reached] says that the view is there. */
    fun read(sentNs: Long, revision: ULong) {
        // A view that does not move on needs no more of them: the oldest are reached first.
        if (awaited.size < MAX_AWAITED) awaited += RevisionRead(sentNs, revision)
    }

    /** The view holds all changes up to [revision]. */
    fun reached(revision: ULong) {
        val done = awaited.filter { it.revision <= revision }
        if (done.isEmpty()) return
        awaited.removeAll(done.toSet())
        sinceNs = maxOf(sinceNs ?: Long.MIN_VALUE, done.maxOf { it.sentNs })
    }

    /** The view is listed anew: nothing is known of its age until it is complete again. */
    fun forget() {
        awaited.clear()
        sinceNs = null
    }

    /** Whether the view is surely no older than [boundNs] at [nowNs]. */
    fun within(boundNs: Long, nowNs: Long): Boolean = sinceNs?.let { nowNs - it <= boundNs } ?: false

    private companion object {
        const val MAX_AWAITED = 32
    }
}
