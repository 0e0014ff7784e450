package flaxfield.controller

/**
 * Defers a duty while many heartbeats are queued, for at most [maxDelayNs] after it became due. Heartbeats renew
 * workers' leases, which could expire during a long planning round. Used only by the owner thread.
 */
class BacklogDeferral(private val maxDelayNs: Long) {
    private var dueSinceNs: Long? = null

    /** Whether a duty that is due may run at [nowNs] while [heartbeatsWaiting] heartbeats are queued. */
    fun mayRun(nowNs: Long, heartbeatsWaiting: Int): Boolean {
        val dueSince = dueSinceNs ?: nowNs.also { dueSinceNs = it }
        if (heartbeatsWaiting >= BACKLOG_HEARTBEATS && nowNs - dueSince < maxDelayNs) return false
        dueSinceNs = null
        return true
    }

    companion object {
        /** The queue length at which a duty is deferred; a shorter queue is handled too quickly to endanger a lease. */
        const val BACKLOG_HEARTBEATS = 8
    }
}
