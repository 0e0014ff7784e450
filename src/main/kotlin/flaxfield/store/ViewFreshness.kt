package flaxfield.store

/**
 * How far back this process may be behind: [sinceNs] is when a read of the revision that the view has reached was
 * *sent*. All that was committed before it, and so all that users were told before it, is in the view. An answer to
 * anything else shows contact, not knowledge: a lease is renewed also while the view stands still. Only the owner
 * thread touches it.
 */
class ViewFreshness {
    private class ReadResult(val sentNs: Long, val revision: ULong)

    private val open = ArrayDeque<ReadResult>()

    /** Null until the view has been complete once: such a process knows nothing, and keeps nothing alive. */
    var sinceNs: Long? = null
        private set

    /** A read sent at [sentNs] told [revision]; it counts once [reached] says that the view is there. */
    fun read(sentNs: Long, revision: ULong) {
        // A view that does not move on needs no more of them: the oldest tell first.
        if (open.size < MAX_OPEN) open += ReadResult(sentNs, revision)
    }

    /** The view holds all changes up to [revision]. */
    fun reached(revision: ULong) {
        val there = open.filter { it.revision <= revision }
        if (there.isEmpty()) return
        open.removeAll(there.toSet())
        sinceNs = maxOf(sinceNs ?: Long.MIN_VALUE, there.maxOf { it.sentNs })
    }

    /** The view is read anew. */
    fun forget() {
        open.clear()
        sinceNs = null
    }

    /** Whether the view is surely no older than [boundNs]. */
    fun within(boundNs: Long, nowNs: Long): Boolean = sinceNs?.let { nowNs - it <= boundNs } ?: false

    private companion object {
        const val MAX_OPEN = 32
    }
}
