package flaxfield.net

/** How one process divides the sockets it may have, so that no kind of connection takes another's. */
data class ConnectionQuotas(
    /** Connections that come in, of all kinds. */
    val incoming: Int,
    /** Users' connections, while workers leave as much room. */
    val users: Int,
    /** Users' connections however many workers come: these many are theirs. */
    val usersLeast: Int,
    /** Requests to workers that are under way. */
    val direct: Int,
    /** Connections that wait to be accepted: after a restart all workers come at once. */
    val backlog: Int,
) {
    companion object {
        /** The rest is for the state service, the cloud, the peers, the listeners and the process's own files. */
        private const val INCOMING_SHARE = 0.93
        private const val USERS_SHARE = 0.35
        private const val USERS_LEAST_SHARE = 0.03
        private const val DIRECT_SHARE = 0.04
        private const val BACKLOG_SHARE = 0.5

        fun of(sockets: Int) = ConnectionQuotas(
            part(sockets, INCOMING_SHARE),
            part(sockets, USERS_SHARE),
            part(sockets, USERS_LEAST_SHARE),
            part(sockets, DIRECT_SHARE),
            part(sockets, BACKLOG_SHARE),
        )

        private fun part(sockets: Int, share: Double) = (sockets * share).toInt().coerceAtLeast(1)
    }
}

/**
 * Which connections stay open. It belongs to the network thread. A connection is a stranger until its first
 * request shows whether a worker or a user is at its other end. Users' idle connections give way first: a
 * user connects again, while a worker that finds no socket loses its tasks with its lease.
 */
class ConnectionLimits<C : Any>(private val shares: ConnectionQuotas, private val close: (C) -> Unit) {
    private class Entry(var user: Boolean, var atNs: Long, var busy: Boolean)

    /** In the order of their last use. */
    private val open = LinkedHashMap<C, Entry>()

    /** Users' connections, how many of them are open. */
    var users = 0
        private set

    val size: Int get() = open.size

    /** A connection has come in; false if it is to be closed at once. */
    fun entered(c: C, nowNs: Long): Boolean {
        if (open.size >= shares.incoming && !giveWay()) return false
        open[c] = Entry(user = false, nowNs, busy = false)
        return true
    }

    /** A request has come on [c]; false if it is a user's for which there is no room now. */
    fun asked(c: C, user: Boolean, nowNs: Long): Boolean {
        val e = open.remove(c) ?: return true
        open[c] = e
        e.atNs = nowNs
        e.busy = true
        if (user && !e.user) {
            if (users >= most() && !giveWay()) return false
            e.user = true
            users++
        }
        return true
    }

    fun answered(c: C) {
        open[c]?.busy = false
    }

    fun left(c: C) {
        if (open.remove(c)?.user == true) users--
    }

    /** Closes what has been silent since [beforeNs]: its other end is gone, or behind a cut. */
    fun reap(beforeNs: Long) {
        val old = open.entries.takeWhile { it.value.atNs < beforeNs }.map { it.key }
        for (c in old) shut(c)
    }

    /** What the workers and unknownMachines leave of the users' part. */
    private fun most(): Int = (shares.incoming - (open.size - users)).coerceIn(shares.usersLeast, shares.users)

    private fun giveWay(): Boolean {
        val idle = open.entries.firstOrNull { it.value.user && !it.value.busy } ?: return false
        shut(idle.key)
        return true
    }

    private fun shut(c: C) {
        left(c)
        close(c)
    }
}
