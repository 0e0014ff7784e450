package flaxfield.controller

/**
 * The owner thread's queue. Its own follow-ups come first, then workers and peers, then users: while a thousand
 * workers come back at once, polls must not cost leases. Each kind has its bounded part of the [most] places.
 */
class CommandQueue(private val most: Int) {
    private val own = ArrayDeque<Command>()
    private val workers = ArrayDeque<Command>()
    private val users = ArrayDeque<Command>()
    private val lock = Object()

    /** Takes one of our own follow-ups: bounded by what we have open. */
    fun follow(c: Command.Run) = put(own, c, Int.MAX_VALUE)

    /** Takes a message from outside; false if it is to be refused. */
    fun offer(c: Command): Boolean {
        val user = c is Command.Http && c.request.path.startsWith(USERS_PATH)
        return if (user) put(users, c, (most * USERS_SHARE).toInt()) else put(workers, c, most)
    }

    private fun put(queue: ArrayDeque<Command>, c: Command, limit: Int): Boolean = synchronized(lock) {
        if (queue.size >= limit) return false
        queue.addLast(c)
        lock.notify()
        true
    }

    val size: Int get() = synchronized(lock) { own.size + workers.size + users.size }

    /** Messages of workers and peers that wait. */
    val workersWaiting: Int get() = synchronized(lock) { workers.size }

    /** Waits up to [ms] for a command; false if there is none. */
    fun await(ms: Long): Boolean = synchronized(lock) {
        if (size == 0) lock.wait(ms)
        size > 0
    }

    /** Moves up to [n] commands into [batch]; users get at least a small part of it. */
    fun take(batch: MutableList<Command>, n: Int) = synchronized(lock) {
        val forUsers = minOf(users.size, (n * MIN_USERS).toInt())
        move(own, batch, n)
        move(workers, batch, n - forUsers)
        move(users, batch, maxOf(n, batch.size + forUsers))
    }

    private fun move(from: ArrayDeque<Command>, batch: MutableList<Command>, until: Int) {
        while (batch.size < until) batch += from.removeFirstOrNull() ?: return
    }

    private companion object {
        const val USERS_PATH = "/work"
        const val USERS_SHARE = 0.5
        const val MIN_USERS = 0.2
    }
}
