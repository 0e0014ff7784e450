package flaxfield.store

/**
 * Bounds the age of the view. The age counts from [asOfNs], when the latest read whose revision the view has reached
 * was sent. The view therefore contains everything that was committed, or acknowledged to users, before that time.
 * Other responses of the store prove only that it is reachable. For example, the lease of this process is renewed
 * even while the view does not advance. Used only by the owner thread.
 */
class ViewFreshness {
    private class RevisionRead(val sentNs: Long, val revision: ULong)

    /** The reads whose revision the view has not reached yet, the oldest first. */
    private val pendingReads = ArrayDeque<RevisionRead>()

    /**
     * The monotonic time as of which the view is up to date. Null until the view is complete for the first time or
     * again after [reset]; until then, this process must not renew leases.
     */
    var asOfNs: Long? = null
        private set

    /** Records a read that was sent at [sentNs] and returned [revision]; it counts once the view has reached it. */
    fun recordRead(sentNs: Long, revision: ULong) {
        // While the view does not advance, further reads are of no use: the view reaches the oldest revisions first.
        if (pendingReads.size < MAX_PENDING_READS) pendingReads += RevisionRead(sentNs, revision)
    }

    /** Records that the view contains all changes up to [revision]. */
    fun onViewReached(revision: ULong) {
        val done = pendingReads.filter { it.revision <= revision }
        if (done.isEmpty()) return
        pendingReads.removeAll(done.toSet())
        asOfNs = maxOf(asOfNs ?: Long.MIN_VALUE, done.maxOf { it.sentNs })
    }

    /** Discards all reads when the view is listed again: its age is unknown until it is complete. */
    fun reset() {
        pendingReads.clear()
        asOfNs = null
    }

    /** Whether the age of the view at [nowNs] is guaranteed to be at most [boundNs]. */
    fun isWithin(boundNs: Long, nowNs: Long): Boolean = asOfNs?.let { nowNs - it <= boundNs } ?: false

    private companion object {
        const val MAX_PENDING_READS = 32
    }
}
