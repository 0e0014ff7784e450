package flaxfield.controller

/**
 * Puts a duty off while more urgent work waits, for at most [mostNs]. After a restart hundreds of reports waited while
 * the new leader planned for two seconds, and the leases that they would have renewed ran out.
 */
class BacklogDeferral(private val mostNs: Long) {
    private var dueSinceNs: Long? = null

    /** Whether the duty, which is due, may run at [nowNs] though [waiting] reports wait. */
    fun mayRun(nowNs: Long, waiting: Int): Boolean {
        val since = dueSinceNs ?: nowNs.also { dueSinceNs = it }
        if (waiting >= MANY_WAITING && nowNs - since < mostNs) return false
        dueSinceNs = null
        return true
    }

    companion object {
        /** Fewer than this are read before a lease notices. */
        const val MANY_WAITING = 8
    }
}
