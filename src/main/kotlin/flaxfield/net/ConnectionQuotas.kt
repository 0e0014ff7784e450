package flaxfield.net

/** How one process divides its limit of sockets between kinds of connections, so that none exhausts the others'. */
data class ConnectionQuotas(
    /** Incoming connections of all kinds. */
    val incoming: Int,
    /** Incoming connections of users, while workers leave as many free. */
    val users: Int,
    /** Incoming connections of users that workers can't take. */
    val reservedForUsers: Int,
    /** Outgoing requests to workers at once. */
    val directCommands: Int,
    /** Connections that wait to be accepted: after a restart all workers connect at once. */
    val backlog: Int,
) {
    companion object {
        /** The rest is for the state service, the cloud, the peers, the listeners and open files. */
        private const val INCOMING_SHARE = 0.93
        private const val USERS_SHARE = 0.35
        private const val RESERVED_FOR_USERS_SHARE = 0.03
        private const val DIRECT_SHARE = 0.04
        private const val BACKLOG_SHARE = 0.5

        /** The quotas of a process that may have this many [sockets]. */
        fun of(sockets: Int) = ConnectionQuotas(
            quota(sockets, INCOMING_SHARE),
            quota(sockets, USERS_SHARE),
            quota(sockets, RESERVED_FOR_USERS_SHARE),
            quota(sockets, DIRECT_SHARE),
            quota(sockets, BACKLOG_SHARE),
        )

        private fun quota(sockets: Int, share: Double) = (sockets * share).toInt().coerceAtLeast(1)
    }
}
