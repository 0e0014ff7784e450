package flaxfield.net

import io.netty.channel.EventLoop

/**
 * The way from the owner thread to the network thread. What the owner sends is handed over once a batch: each
 * handing over wakes the network thread, and at some hundred answers a second the waking cost more than the
 * answers. From the network thread itself it is passed straight through.
 */
class Outbox(private val loop: EventLoop) {
    private var pending = ArrayList<() -> Unit>()

    /** To be called by the owner thread, which also calls [flush], or by the network thread. */
    fun add(block: () -> Unit) {
        if (loop.inEventLoop()) block() else pending.add(block)
    }

    /** Hands over all that the batch has added. */
    fun flush() {
        if (pending.isEmpty()) return
        val batch = pending
        pending = ArrayList()
        loop.execute { for (b in batch) b() }
    }
}
