package flaxfield.peers

import flaxfield.MILLIS_PER_SECOND
import flaxfield.NANOS_PER_MILLI
import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.settings.Address

/**
 * Exchanges messages with the other controllers. Forwards heartbeats of workers to the controller that owns the
 * machine, and reports how long ago the store last responded to this process. Used only by the owner thread.
 */
class PeerGateway(private val context: ControllerContext, connect: (Address, (PeerMessage) -> Unit) -> PeerConnection) {
    private class PendingForward(val sentNs: Long, val done: (Int, ByteArray?) -> Unit)

    private val connections = context.settings.peers.associate { peer ->
        peer.name to connect(peer.address) { message -> context.post { receiveResponse(message) } }
    }

    /** The forwarded heartbeats without a response, by id, the oldest first. */
    private val pending = LinkedHashMap<Long, PendingForward>()
    private val maxPending = (context.operator.queueCommands * PENDING_SHARE).toInt()
    private var nextId = 1L
    private var nextHeartbeatNs = 0L

    /** When the last heartbeat of each peer arrived, by name. */
    private val lastHeartbeatNs = HashMap<String, Long>()

    /** When each peer last reported recent contact with the store, by name. */
    private val lastStoreContactNs = HashMap<String, Long>()

    /**
     * Forwards [heartbeat] to the controller [owner]. Passes the status and body of the response to [done], or 0 and
     * null if there is no response before the timeout.
     */
    fun forwardHeartbeat(owner: String?, heartbeat: ByteArray, done: (Int, ByteArray?) -> Unit) {
        val connection = connections[owner]
        if (connection == null || pending.size >= maxPending) return done(NO_RESPONSE, null)
        val id = nextId++
        pending[id] = PendingForward(context.nowNs, done)
        connection.send(PeerMessage.ForwardedHeartbeat(context.self.name, id, heartbeat))
    }

    private fun receiveResponse(message: PeerMessage) {
        if (message is PeerMessage.ForwardedResponse) {
            pending.remove(message.id)?.done?.invoke(message.status, message.body)
        }
    }

    /** Records the heartbeat of a peer. */
    fun receiveHeartbeat(message: PeerMessage.PeerHeartbeat) {
        lastHeartbeatNs[message.from] = context.nowNs
        if (message.storeResponseAgeMs <= context.settings.workers.heartbeatIntervalS * MILLIS_PER_SECOND) {
            lastStoreContactNs[message.from] = context.nowNs
        }
    }

    /** Whether a heartbeat of some peer has arrived recently. */
    fun hasReachablePeer(): Boolean = lastHeartbeatNs.values.any(::isRecent)

    /** Whether some peer has recently reported contact with the store. */
    fun storeReachableElsewhere(): Boolean = lastStoreContactNs.values.any(::isRecent)

    private fun isRecent(atNs: Long): Boolean =
        context.nowNs - atNs < context.settings.workers.heartbeatIntervalS * RECENT_HEARTBEATS * NANOS_PER_SECOND

    /** Expires forwarded heartbeats without a timely response, and sends this controller's heartbeat when it is due. */
    fun tick() {
        val nowNs = context.nowNs
        expirePending(nowNs)
        if (nowNs < nextHeartbeatNs) return
        val intervalNs = context.settings.workers.heartbeatIntervalS * INTERVAL_HEARTBEATS * NANOS_PER_SECOND
        nextHeartbeatNs = nowNs + intervalNs.toLong()
        val storeResponseAgeMs = context.storeContact.timeSinceResponseNs() / NANOS_PER_MILLI
        for (connection in connections.values) {
            connection.send(PeerMessage.PeerHeartbeat(context.self.name, storeResponseAgeMs))
        }
    }

    private fun expirePending(nowNs: Long) {
        while (true) {
            val (id, oldest) = pending.entries.firstOrNull() ?: return
            if (nowNs - oldest.sentNs < FORWARD_TIMEOUT_MS * NANOS_PER_MILLI) return
            pending.remove(id)
            oldest.done(NO_RESPONSE, null)
        }
    }

    private companion object {
        /** The status that is reported if no response arrives. */
        const val NO_RESPONSE = 0

        /** The limit on pending forwards, as a share of the capacity of the command queue. */
        const val PENDING_SHARE = 0.25

        /** Less than the 4 s that workers wait for a response, to leave time for its delivery and for a long batch. */
        const val FORWARD_TIMEOUT_MS = 1_500L

        /** The interval of heartbeats to peers, in heartbeat intervals of workers. */
        const val INTERVAL_HEARTBEATS = 0.5

        /** How long a peer's heartbeat counts as recent, in heartbeat intervals of workers. */
        const val RECENT_HEARTBEATS = 1.5
    }
}
