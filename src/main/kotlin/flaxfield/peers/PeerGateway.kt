package flaxfield.peers

import flaxfield.MILLIS_PER_SECOND
import flaxfield.NANOS_PER_MILLI
import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.settings.Address

/**
 * Exchanges messages with the other controllers: forwards heartbeats of workers to the machine's owner, and tells how
 * long ago the state service answered. The owner thread calls it.
 */
class PeerGateway(private val context: ControllerContext, connect: (Address, (PeerMessage) -> Unit) -> PeerConnection) {
    private class PendingForward(val sinceNs: Long, val done: (Int, ByteArray?) -> Unit)

    private val connections = context.settings.peers.associate { peer ->
        peer.name to connect(peer.address) { message -> context.post { receiveResponse(message) } }
    }

    /** Forwarded heartbeats without a response yet, by id, the oldest first. */
    private val pending = LinkedHashMap<Long, PendingForward>()
    private val maxPending = (context.operator.queueCommands * PENDING_SHARE).toInt()
    private var nextId = 1L
    private var nextHeartbeatNs = 0L

    /** When each peer was last heard, by name. */
    private val heardNs = HashMap<String, Long>()

    /** When each peer last reported that the state service answers it, by name. */
    private val storeReachableElsewhereNs = HashMap<String, Long>()

    /**
     * Forwards [heartbeat] to the controller [owner]; [done] gets the status and body of its response, or 0 and null if
     * there is none in time.
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

    /** Notes the heartbeat of a peer. */
    fun receiveHeartbeat(message: PeerMessage.PeerHeartbeat) {
        heardNs[message.from] = context.nowNs
        if (message.stateAgeMs <= context.settings.workers.heartbeatIntervalS * MILLIS_PER_SECOND) {
            storeReachableElsewhereNs[message.from] = context.nowNs
        }
    }

    /** Whether some peer has been heard lately. */
    fun hasRecentPeer(): Boolean = heardNs.values.any(::isFresh)

    /** Whether the state service has answered some peer lately. */
    fun storeReachableElsewhere(): Boolean = storeReachableElsewhereNs.values.any(::isFresh)

    private fun isFresh(atNs: Long): Boolean =
        context.nowNs - atNs < context.settings.workers.heartbeatIntervalS * FRESH_HEARTBEATS * NANOS_PER_SECOND

    /** Gives up on forwarded heartbeats whose response is late, and sends this controller's heartbeat when due. */
    fun tick() {
        val nowNs = context.nowNs
        expirePending(nowNs)
        if (nowNs < nextHeartbeatNs) return
        val intervalNs = context.settings.workers.heartbeatIntervalS * INTERVAL_HEARTBEATS * NANOS_PER_SECOND
        nextHeartbeatNs = nowNs + intervalNs.toLong()
        val stateAgeMs = context.storeContact.silenceNs() / NANOS_PER_MILLI
        for (connection in connections.values) {
            connection.send(PeerMessage.PeerHeartbeat(context.self.name, stateAgeMs))
        }
    }

    private fun expirePending(nowNs: Long) {
        while (true) {
            val (id, oldest) = pending.entries.firstOrNull() ?: return
            if (nowNs - oldest.sinceNs < FORWARD_TIMEOUT_MS * NANOS_PER_MILLI) return
            pending.remove(id)
            oldest.done(NO_RESPONSE, null)
        }
    }

    private companion object {
        /** Stands for the status of a response that has not arrived. */
        const val NO_RESPONSE = 0

        /** The share of the owner's command queue that forwarded heartbeats may take. */
        const val PENDING_SHARE = 0.25

        /** Workers wait 4 s for a response; the rest is for the way back and for a long batch. */
        const val FORWARD_TIMEOUT_MS = 1_500L

        /** The interval of heartbeats to peers, in workers' heartbeat intervals. */
        const val INTERVAL_HEARTBEATS = 0.5

        /** For how long a peer's heartbeat counts, in workers' heartbeat intervals. */
        const val FRESH_HEARTBEATS = 1.5
    }
}
