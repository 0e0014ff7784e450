package flaxfield.net

/**
 * Enforces the limits on incoming connections. A connection counts as a worker's until a request shows that it is a
 * user's. At the limit, idle connections of users are closed first: a user reconnects, while a worker that cannot
 * connect loses its lease and with it its tasks. Confined to the network thread.
 */
class ConnectionLimits<C : Any>(private val quotas: ConnectionQuotas, private val close: (C) -> Unit) {
    private class Entry(var isUser: Boolean, var lastRequestNs: Long, var isBusy: Boolean)

    /** The open connections, ordered by their last request, oldest first. */
    private val open = LinkedHashMap<C, Entry>()

    /** The number of open connections of users. */
    var userCount = 0
        private set

    /** The number of open connections. */
    val size: Int get() = open.size

    /** Admits a new [connection]; returns false if the caller must close it at once. */
    fun opened(connection: C, nowNs: Long): Boolean {
        if (open.size >= quotas.incoming && !closeIdleUser()) return false
        open[connection] = Entry(isUser = false, nowNs, isBusy = false)
        return true
    }

    /** Records a request on [connection]; returns false if it is a user's and too many users are connected. */
    fun requestReceived(connection: C, isUser: Boolean, nowNs: Long): Boolean {
        val entry = open.remove(connection) ?: return true
        open[connection] = entry
        entry.lastRequestNs = nowNs
        entry.isBusy = true
        if (isUser && !entry.isUser) {
            if (userCount >= maxUsers() && !closeIdleUser()) return false
            entry.isUser = true
            userCount++
        }
        return true
    }

    /** Records that the request on [connection] has been answered. */
    fun responseSent(connection: C) {
        open[connection]?.isBusy = false
    }

    /** Records that [connection] is closed. */
    fun closed(connection: C) {
        if (open.remove(connection)?.isUser == true) userCount--
    }

    /** Closes connections without a request since [sinceNs]: the peer has terminated or is unreachable. */
    fun closeIdle(sinceNs: Long) {
        val idle = open.entries.takeWhile { it.value.lastRequestNs < sinceNs }.map { it.key }
        for (connection in idle) evict(connection)
    }

    /** Returns the users' quota minus the part that workers occupy. */
    private fun maxUsers(): Int =
        (quotas.incoming - (open.size - userCount)).coerceIn(quotas.reservedForUsers, quotas.users)

    /** Closes the least recently used idle connection of a user; returns false if there is none. */
    private fun closeIdleUser(): Boolean {
        val idle = open.entries.firstOrNull { it.value.isUser && !it.value.isBusy } ?: return false
        evict(idle.key)
        return true
    }

    private fun evict(connection: C) {
        closed(connection)
        close(connection)
    }
}
