package flaxfield.net

import io.netty.channel.EventLoop

/**
 * The way from the owner thread to the network thread. What the owner sends is handed over once a batch: each
 * handing over wakes the network thread, and at some hundred answers a second the waking cost more than the
 * answers. From the network thread itself it is passed straight through.
 */
class OutboundQueue(private val loop: EventLoop) {
    private var pending = ArrayList<() -> Unit>()
    private var oldestNs = 0L

    /** To be called by the owner thread, which also calls [flush], or by the network thread. */
    fun add(block: () -> Unit) {
        if (loop.inEventLoop()) return block()
        if (pending.isEmpty()) oldestNs = System.nanoTime()
        pending.add(block)
    }

    /**
     * Hands over what has waited for long, in the middle of a batch or of its decisions: behind two seconds of
     * planning, a renewal of the node's own lease was sent too late, and so were the answers that renew workers'
     * leases.
     */
    fun flushLate() {
        if (pending.isNotEmpty() && System.nanoTime() - oldestNs > LATE_NS) flush()
    }

    /** Hands over all that the batch has added. */
    fun flush() {
        if (pending.isEmpty()) return
        val batch = pending
        pending = ArrayList()
        loop.execute { for (b in batch) b() }
    }

    private companion object {
        /** Far below the time that anyone waits for us; ordinary batches are through in less. */
        const val LATE_NS = 20_000_000L
    }
}
