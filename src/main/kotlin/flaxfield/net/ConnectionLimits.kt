package flaxfield.net

/**
 * Decides which incoming connections stay open. Whether a worker or a user is at the other end is known from the first
 * request; until then a connection counts as a worker's. Idle connections of users are closed first: a user connects
 * again, while a worker that can't connect loses its tasks with its lease. Belongs to the network thread.
 */
class ConnectionLimits<C : Any>(private val quotas: ConnectionQuotas, private val close: (C) -> Unit) {
    private class Entry(var isUser: Boolean, var lastRequestNs: Long, var isBusy: Boolean)

    /** In the order of their last request. */
    private val open = LinkedHashMap<C, Entry>()

    /** How many connections of users are open. */
    var users = 0
        private set

    /** How many connections are open. */
    val size: Int get() = open.size

    /** Admits a new [connection]; false if it is to be closed at once. */
    fun opened(connection: C, nowNs: Long): Boolean {
        if (open.size >= quotas.incoming && !closeIdleUser()) return false
        open[connection] = Entry(isUser = false, nowNs, isBusy = false)
        return true
    }

    /** Notes a request on [connection]; false if it is a user's and too many users are connected. */
    fun requestReceived(connection: C, isUser: Boolean, nowNs: Long): Boolean {
        val entry = open.remove(connection) ?: return true
        open[connection] = entry
        entry.lastRequestNs = nowNs
        entry.isBusy = true
        if (isUser && !entry.isUser) {
            if (users >= maxUsers() && !closeIdleUser()) return false
            entry.isUser = true
            users++
        }
        return true
    }

    /** Notes that the request on [connection] has been answered. */
    fun responseSent(connection: C) {
        open[connection]?.isBusy = false
    }

    /** Notes that [connection] is closed. */
    fun closed(connection: C) {
        if (open.remove(connection)?.isUser == true) users--
    }

    /** Closes connections without a request since [sinceNs]: their other end is gone or unreachable. */
    fun closeIdle(sinceNs: Long) {
        val idle = open.entries.takeWhile { it.value.lastRequestNs < sinceNs }.map { it.key }
        for (connection in idle) evict(connection)
    }

    /** The users' quota, less what workers have taken of it. */
    private fun maxUsers(): Int =
        (quotas.incoming - (open.size - users)).coerceIn(quotas.reservedForUsers, quotas.users)

    /** Closes the user's connection that has been idle longest; false if there is none. */
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
