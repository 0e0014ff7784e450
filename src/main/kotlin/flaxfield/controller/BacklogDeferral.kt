package flaxfield.controller

/**
 * Defers a duty while many heartbeats wait, for at most [maxDelayNs] from when it was first due: the heartbeats renew
 * workers' leases, which a long round of planning would let run out. Owned by the owner thread.
 */
class BacklogDeferral(private val maxDelayNs: Long) {
    private var dueSinceNs: Long? = null

    /** Whether the duty, which is due, may run at [nowNs] though [heartbeatsWaiting] heartbeats wait. */
    fun mayRun(nowNs: Long, heartbeatsWaiting: Int): Boolean {
        val dueSince = dueSinceNs ?: nowNs.also { dueSinceNs = it }
        if (heartbeatsWaiting >= MANY_WAITING && nowNs - dueSince < maxDelayNs) return false
        dueSinceNs = null
        return true
    }

    companion object {
        /** Fewer than this are read in a time that makes no difference to a lease. */
        const val MANY_WAITING = 8
    }
}
