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

/** Whole answers to workers' reports: status and body. */
object ReportAnswers {
    private val silence = HttpTransport { _, _, _, _, _ -> }

    /**
     * The answers to a worker of the other member's zone: it hears the term first, and is sent to its owner after that.
     */
    fun redirected(): String = answers(listOf(heartbeat(fencingToken = 3uL), heartbeat(fencingToken = StoredSamples.VERSION))) {
        it.assign()
    }

    /** The answer while no assignment is known. */
    fun withoutAssignment(): String = answers(listOf(heartbeat(fencingToken = 0uL))) {}

    /** The answer to [body] of a controller that has just started. */
    fun answer(body: ByteArray): String = answers(listOf(body)) {}

    private fun answers(bodies: List<ByteArray>, prepare: (ControllerSample) -> Unit): String {
        val sample = ControllerSample()
        prepare(sample)
        val health = WorkerHealth(sample.context)
        val handler = HeartbeatHandler(
            sample.context,
            TaskEventCommitter(sample.context),
            PeerGateway(sample.context) { _, _ -> PeerConnection { } },
            health,
            HaltDispatcher(sample.context, health, DirectCommandSender(1, 1) { silence }),
        )
        val text = StringBuilder()
        for (body in bodies) {
            handler.heartbeat(body) { status, answer, retryAfterS ->
                text.append(
                    "status=$status type=${answer.type} retry_after_s=$retryAfterS\n",
                ).append(HexText.of(answer.bytes))
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
