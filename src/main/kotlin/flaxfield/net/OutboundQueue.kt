package flaxfield.net

import io.netty.channel.EventLoop

/**
 * Batches work that the owner thread passes to the network thread, since each wakeup of the network thread costs more
 * CPU time than sending a response. Work added on the network thread itself runs immediately.
 */
class OutboundQueue(private val loop: EventLoop) {
    private var pending = ArrayList<() -> Unit>()
    private var oldestNs = 0L

    /** Adds [block]. Called on the owner thread, which also calls [flush], or on the network thread. */
    fun add(block: () -> Unit) {
        if (loop.inEventLoop()) return block()
        if (pending.isEmpty()) oldestNs = System.nanoTime()
        pending.add(block)
    }

    /**
     * Flushes if the oldest entry has waited longer than [MAX_DELAY_NS]. Called during long batches of commands, so
     * that lease renewals and responses to workers are not delayed until the end of the batch.
     */
    fun flushIfOverdue() {
        if (pending.isNotEmpty() && System.nanoTime() - oldestNs > MAX_DELAY_NS) flush()
    }

    /** Passes all pending work to the network thread. */
    fun flush() {
        if (pending.isEmpty()) return
        val batch = pending
        pending = ArrayList()
        loop.execute { for (block in batch) block() }
    }

    private companion object {
        /** Far below every client's timeout, and longer than an ordinary batch takes. */
        const val MAX_DELAY_NS = 20_000_000L
    }
}
