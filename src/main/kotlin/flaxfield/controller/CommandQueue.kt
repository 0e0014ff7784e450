package flaxfield.controller

import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * The command queue of the owner thread. It holds up to [capacity] messages from workers and peers, and fewer from
 * users. Follow-ups of this process come first, then workers and peers, then users: when all workers reconnect at once,
 * polls of users must not delay heartbeats until leases expire. Safe to call from any thread.
 */
class CommandQueue(private val capacity: Int) {
    private val followUps = ArrayDeque<Command>()
    private val workers = ArrayDeque<Command>()
    private val users = ArrayDeque<Command>()
    private val lock = ReentrantLock()
    private val notEmpty = lock.newCondition()

    /** Queues a follow-up of this process. The number of its open requests bounds these, so none is rejected. */
    fun addFollowUp(command: Command) = add(followUps, command, Int.MAX_VALUE)

    /** Queues a message from a worker, a peer or a user; returns false if its queue is full. */
    fun offer(command: Command): Boolean {
        val isUserRequest = command is Command.Http && command.request.path.startsWith(ApiPath.JOBS)
        return if (isUserRequest) {
            add(
                users,
                command,
                (capacity * MAX_USERS_QUEUE_SHARE).toInt(),
            )
        } else {
            add(workers, command, capacity)
        }
    }

    private fun add(queue: ArrayDeque<Command>, command: Command, limit: Int): Boolean = lock.withLock {
        if (queue.size >= limit) return false
        queue.addLast(command)
        notEmpty.signal()
        true
    }

    /** The number of queued commands. */
    val size: Int get() = lock.withLock { followUps.size + workers.size + users.size }

    /** The number of queued messages from workers and peers. */
    val workersWaiting: Int get() = lock.withLock { workers.size }

    /** Waits up to [timeoutMs] for a command; returns false on a timeout. */
    fun await(timeoutMs: Long): Boolean = lock.withLock {
        if (size == 0) notEmpty.await(timeoutMs, TimeUnit.MILLISECONDS)
        size > 0
    }

    /**
     * Moves up to [max] commands into the empty [batch]. A small share is reserved for users: if follow-ups alone fill
     * the batch, it exceeds [max] by that share.
     */
    fun take(batch: MutableList<Command>, max: Int) = lock.withLock {
        val reservedForUsers = minOf(users.size, (max * MIN_USERS_BATCH_SHARE).toInt())
        move(followUps, batch, max)
        move(workers, batch, max - reservedForUsers)
        move(users, batch, maxOf(max, batch.size + reservedForUsers))
    }

    /** Moves commands until [batch] holds [targetSize] commands or the queue is empty. */
    private fun move(from: ArrayDeque<Command>, batch: MutableList<Command>, targetSize: Int) {
        while (batch.size < targetSize) batch += from.removeFirstOrNull() ?: return
    }

    private companion object {
        /** The largest share of the capacity that requests of users may occupy. */
        const val MAX_USERS_QUEUE_SHARE = 0.5

        /** The share of a batch that is reserved for users while their requests are queued. */
        const val MIN_USERS_BATCH_SHARE = 0.2
    }
}
