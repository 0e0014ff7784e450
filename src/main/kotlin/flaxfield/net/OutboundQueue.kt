package flaxfield.net

import io.netty.channel.EventLoop

/**
 * Hands work from the owner thread to the network thread, batch by batch: each wake-up of the network thread costs more
 * processor time than sending one response. Work added on the network thread itself runs at once.
 */
class OutboundQueue(private val loop: EventLoop) {
    private var pending = ArrayList<() -> Unit>()
    private var oldestNs = 0L

    /** Adds [block]; called by the owner thread, which also calls [flush], or by the network thread. */
    fun add(block: () -> Unit) {
        if (loop.inEventLoop()) return block()
        if (pending.isEmpty()) oldestNs = System.nanoTime()
        pending.add(block)
    }

    /**
     * Flushes if the oldest entry has waited too long. Called within long batches, so that lease renewals and responses
     * to workers are not delayed until their end.
     */
    fun flushIfOverdue() {
        if (pending.isNotEmpty() && System.nanoTime() - oldestNs > MAX_DELAY_NS) flush()
    }

    /** Hands over all that has been added. */
    fun flush() {
        if (pending.isEmpty()) return
        val batch = pending
        pending = ArrayList()
        loop.execute { for (block in batch) block() }
    }

    private companion object {
        /** Far below every client's timeout; an ordinary batch takes less. */
        const val MAX_DELAY_NS = 20_000_000L
    }
}
