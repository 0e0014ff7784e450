package flaxfield.controller

import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * The owner thread's queue, of [capacity] places for messages from outside. The process's own follow-ups come first,
 * then workers and peers, then users: while all workers come back at once, users' polls must not cost leases. Safe from
 * any thread; a refused command has not been queued.
 */
class CommandQueue(private val capacity: Int) {
    private val followUps = ArrayDeque<Command>()
    private val workers = ArrayDeque<Command>()
    private val users = ArrayDeque<Command>()
    private val lock = ReentrantLock()
    private val notEmpty = lock.newCondition()

    /** Takes one of the process's own follow-ups: they are bounded by the requests it has open. */
    fun addFollowUp(command: Command) = add(followUps, command, Int.MAX_VALUE)

    /** Takes a message from outside; false if it is to be refused. */
    fun offer(command: Command): Boolean {
        val isOfUser = command is Command.Http && command.request.path.startsWith(ApiPath.JOBS)
        return if (isOfUser) add(users, command, (capacity * USERS_SHARE).toInt()) else add(workers, command, capacity)
    }

    private fun add(queue: ArrayDeque<Command>, command: Command, limit: Int): Boolean = lock.withLock {
        if (queue.size >= limit) return false
        queue.addLast(command)
        notEmpty.signal()
        true
    }

    /** How many commands wait. */
    val size: Int get() = lock.withLock { followUps.size + workers.size + users.size }

    /** Messages of workers and peers that wait. */
    val workersWaiting: Int get() = lock.withLock { workers.size }

    /** Waits up to [timeoutMs] for a command; false if there is none. */
    fun await(timeoutMs: Long): Boolean = lock.withLock {
        if (size == 0) notEmpty.await(timeoutMs, TimeUnit.MILLISECONDS)
        size > 0
    }

    /** Moves up to [max] commands into [batch], which is empty; users get at least a small share of it. */
    fun take(batch: MutableList<Command>, max: Int) = lock.withLock {
        val reservedForUsers = minOf(users.size, (max * MIN_USERS_SHARE).toInt())
        move(followUps, batch, max)
        move(workers, batch, max - reservedForUsers)
        move(users, batch, maxOf(max, batch.size + reservedForUsers))
    }

    /** Moves commands until [batch] holds [until]. */
    private fun move(from: ArrayDeque<Command>, batch: MutableList<Command>, until: Int) {
        while (batch.size < until) batch += from.removeFirstOrNull() ?: return
    }

    private companion object {
        /** Users may fill this share of the places. */
        const val USERS_SHARE = 0.5

        /** The share of a batch that is users' while they wait. */
        const val MIN_USERS_SHARE = 0.2
    }
}
