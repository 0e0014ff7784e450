package flaxfield.peers

import flaxfield.MILLIS_PER_SECOND
import flaxfield.NANOS_PER_MILLI
import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.settings.Address

/** Hints between our own processes: pulses and relayed reports. */
class PeerGateway(private val context: ControllerContext, connect: (Address, (PeerMessage) -> Unit) -> PeerConnection) {
    private class Pending(val sinceNs: Long, val done: (Int, ByteArray?) -> Unit)

    private val clients = context.settings.peers.associate { p ->
        p.name to connect(p.address) { m -> context.post { answered(m) } }
    }
    private val pending = LinkedHashMap<Long, Pending>()
    private val mostPending = (context.operator.queueCommands * PENDING_SHARE).toInt()
    private var nextId = 1L
    private var nextPulseNs = 0L

    /** When a peer last said that the state service answers it. */
    private val storeReachableElsewhereNs = HashMap<String, Long>()

    /** Hands a report to the machine's owner; [done] gets its answer, or null if there is none in time. */
    fun relay(owner: String?, heartbeat: ByteArray, done: (Int, ByteArray?) -> Unit) {
        val client = clients[owner]
        if (client == null || pending.size >= mostPending) return done(0, null)
        val id = nextId++
        pending[id] = Pending(context.nowNs, done)
        client.send(PeerMessage.ForwardedHeartbeat(context.self.name, id, heartbeat))
    }

    private fun answered(m: PeerMessage) {
        if (m is PeerMessage.ForwardedResponse) pending.remove(m.id)?.done?.invoke(m.status, m.body)
    }

    private val heardNs = HashMap<String, Long>()

    /** Whether some peer has been heard of late. */
    fun heard(): Boolean = heardNs.values.any {
        context.nowNs - it <
            context.settings.workers.heartbeatIntervalS * FRESH_HEARTBEATS * NANOS_PER_SECOND
    }

    fun pulse(m: PeerMessage.PeerHeartbeat) {
        heardNs[m.from] = context.nowNs
        if (m.stateAgeMs <=
            context.settings.workers.heartbeatIntervalS * MILLIS_PER_SECOND
        ) {
            storeReachableElsewhereNs[m.from] = context.nowNs
        }
    }

    /** Whether some peer has the state service's ear now. */
    fun storeReachableElsewhere(): Boolean = storeReachableElsewhereNs.values.any {
        context.nowNs - it <
            context.settings.workers.heartbeatIntervalS * FRESH_HEARTBEATS * NANOS_PER_SECOND
    }

    fun tick() {
        val now = context.nowNs
        while (true) {
            val (id, p) = pending.entries.firstOrNull() ?: break
            if (now - p.sinceNs < RELAY_MS * NANOS_PER_MILLI) break
            pending.remove(id)
            p.done(0, null)
        }
        if (now < nextPulseNs) return
        nextPulseNs = now + (context.settings.workers.heartbeatIntervalS * PULSE_HEARTBEATS * NANOS_PER_SECOND).toLong()
        val age = (context.storeContact.silenceNs()) / NANOS_PER_MILLI
        for (c in clients.values) c.send(PeerMessage.PeerHeartbeat(context.self.name, age))
    }

    private companion object {
        /** Reports on their way to their owner take at most this share of its queue's places. */
        const val PENDING_SHARE = 0.25

        /** Workers drop an answer after 4 s; the rest is for the way back and a slow turn. */
        const val RELAY_MS = 1_500L
        const val PULSE_HEARTBEATS = 0.5
        const val FRESH_HEARTBEATS = 1.5
    }
}
