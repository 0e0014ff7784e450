package flaxfield.golden

import flaxfield.codec.Cbor
import flaxfield.jobs.TaskEventCommitter
import flaxfield.net.HttpTransport
import flaxfield.peers.PeerConnection
import flaxfield.peers.PeerGateway
import flaxfield.workers.DirectCommandSender
import flaxfield.workers.HaltDispatcher
import flaxfield.workers.HeartbeatHandler
import flaxfield.workers.WorkerHealth

/** Complete responses to workers' heartbeats: status, headers and body. */
object HeartbeatResponses {
    private val unresponsive = HttpTransport { _, _, _, _, _ -> }

    /**
     * The responses to a worker in the other member's zone: the first one carries the current term, the second one
     * redirects the worker to its owner.
     */
    fun redirected(): String = responses(listOf(heartbeat(fencingToken = 3uL), heartbeat(fencingToken = StoredSamples.VERSION))) {
        it.assign()
    }

    /** The response while no assignment is known. */
    fun withoutAssignment(): String = responses(listOf(heartbeat(fencingToken = 0uL))) {}

    /** The response of a controller without an assignment to a heartbeat with [body]. */
    fun response(body: ByteArray): String = responses(listOf(body)) {}

    private fun responses(bodies: List<ByteArray>, prepare: (SampleController) -> Unit): String {
        val controller = SampleController()
        prepare(controller)
        val health = WorkerHealth(controller.context)
        val handler = HeartbeatHandler(
            controller.context,
            TaskEventCommitter(controller.context),
            PeerGateway(controller.context) { _, _ -> PeerConnection { } },
            health,
            HaltDispatcher(controller.context, health, DirectCommandSender(1, 1) { unresponsive }),
        )
        val text = StringBuilder()
        for (body in bodies) {
            handler.handle(body) { status, response, retryAfterS ->
                text.append("status=$status type=${response.type} retry_after_s=$retryAfterS\n").append(HexText.of(response.bytes))
            }
        }
        return text.toString()
    }

    private fun heartbeat(fencingToken: ULong) = Cbor.encode(
        mapOf(
            "host" to "host-1", "address" to "10.0.0.1:80", "flavor" to "big", "site" to "zone-b", "lendable" to false,
            "tenure" to 1, "tally" to 1, "epoch" to fencingToken, "shards" to emptyList<Any>(),
        ),
    )
}
