package flaxfield.net

/** How a process divides its socket limit between kinds of connections, so that no kind starves the others. */
data class ConnectionQuotas(
    /** The maximum number of incoming connections of all kinds. */
    val incoming: Int,
    /** The maximum number of incoming connections of users, if workers leave that many free. */
    val users: Int,
    /** The number of incoming connections reserved for users. */
    val reservedForUsers: Int,
    /** The maximum number of concurrent direct commands to workers. */
    val directCommands: Int,
    /** The accept backlog of the listening socket: after a restart all workers connect at once. */
    val backlog: Int,
) {
    companion object {
        /** The remaining sockets are for the state service, the cloud, the peers, the listeners and open files. */
        private const val INCOMING_SHARE = 0.93
        private const val USERS_SHARE = 0.35
        private const val RESERVED_FOR_USERS_SHARE = 0.03
        private const val DIRECT_SHARE = 0.04
        private const val BACKLOG_SHARE = 0.5

        /** Returns the quotas of a process that may open up to [sockets] sockets. */
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
