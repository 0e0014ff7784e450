package flaxfield.sim

import flaxfield.codec.Cbor
import flaxfield.codec.FieldMap
import flaxfield.controller.ControllerTransports
import flaxfield.net.HttpTransport
import flaxfield.net.Response
import flaxfield.peers.PeerConnection
import flaxfield.peers.PeerFrames
import flaxfield.peers.PeerMessage
import flaxfield.settings.Address

/** Creates the transports of simulated controllers to the state service, the cloud, the workers and their peers. */
class SimTransports(
    private val loop: SimLoop,
    private val controllerNames: List<String>,
    private val network: SimNetwork,
    private val store: SimStore,
    private val cloud: SimCloud,
    private val controller: (Int) -> SimController,
) {
    private val recorder = SimRecorder.current

    /** Whether a copy of each direct command reaches its worker again, late. */
    var copiesCommands = false

    /** The number of copies of direct commands that were delivered. */
    var copiedCommands = 0
        private set

    /** The direct commands that contain a launch, which is never sent this way. */
    val directLaunches = ArrayList<String>()

    /** Returns the transports of a process of controller [index], which deliver responses only while it is [alive]. */
    fun of(index: Int, alive: () -> Boolean) = ControllerTransports(
        storeTransport(index, alive),
        storeTransport(index, alive),
        recorded(SimChannel.CLOUD, controllerNames[index], network.cloudLinks[index].transport(alive, cloud::serve)),
        { address -> commandTransport(index, address, alive) },
        { address, onMessage ->
            PeerConnection { message -> sendToPeer(index, address, message) { if (alive()) onMessage(it) } }
        },
    )

    private fun storeTransport(index: Int, alive: () -> Boolean): HttpTransport {
        val transport = network.storeLinks[index].transport(alive) { method, target, body, answer ->
            store.serve(index, method, target, body, answer)
        }
        return recorded(SimChannel.STATE, controllerNames[index], transport)
    }

    private fun commandTransport(index: Int, address: Address, alive: () -> Boolean): HttpTransport {
        val transport = network.workerLinks[index].transport(alive) { _, _, body, answer ->
            if (!network.workerConnectionsCut[index]) command(index, address, body, answer)
        }
        return recorded(SimChannel.COMMAND, "${controllerNames[index]} ${address.host}:${address.port}", transport)
    }

    private fun command(from: Int, address: Address, body: ByteArray, answer: (Response) -> Unit) {
        val worker = cloud.workers["host-%06d".format(address.port - 1)] ?: return
        if (worker.inboundBlocked || network.arePartitioned(worker.machine.zone, from)) return
        val command = Cbor.decode(body)
        directLaunches += command.mapList("orders").filter { it.text("verb") == "launch" }.map { it.map.toString() }
        if (copiesCommands) copyLater(worker, command)
        if (worker.hung) worker.bufferCommand(command) else answer(worker.execute(command))
    }

    private fun copyLater(worker: SimWorker, command: FieldMap) {
        loop.after(loop.random.nextLong(COPY_MIN_DELAY_NS, COPY_MAX_DELAY_NS)) {
            if (worker.terminated || worker.hung) return@after
            copiedCommands++
            worker.execute(command)
        }
    }

    private fun sendToPeer(from: Int, address: Address, message: PeerMessage, reply: (PeerMessage) -> Unit) {
        val to = address.host.substringAfterLast('.').toInt() - 1
        val target = "${controllerNames[from]} ${controllerNames[to]}"
        recorder?.sent(loop.nowNs, SimChannel.PEER, target, PeerFrames.encode(message))
        loop.after(PEER_HOP_NS) {
            if (network.connectsPeers(from, to)) {
                controller(to).handle(message) { answer -> loop.after(PEER_HOP_NS) { reply(answer) } }
            }
        }
    }

    /** Wraps [transport] of [sender] so that each request is passed to the recorder before it is sent. */
    private fun recorded(channel: SimChannel, sender: String, transport: HttpTransport): HttpTransport {
        val recorder = recorder ?: return transport
        return HttpTransport { method, path, body, timeoutMs, done ->
            recorder.sent(loop.nowNs, channel, "$sender $method $path $timeoutMs", body ?: ByteArray(0))
            transport.send(method, path, body, timeoutMs, done)
        }
    }

    private companion object {
        const val PEER_HOP_NS = 2 * SimLoop.MS
        const val COPY_MIN_DELAY_NS = 100 * SimLoop.MS
        const val COPY_MAX_DELAY_NS = 16 * SimLoop.SECOND
    }
}
