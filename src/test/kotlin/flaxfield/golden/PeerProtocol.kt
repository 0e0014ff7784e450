package flaxfield.golden

import flaxfield.peers.PeerFrames
import flaxfield.peers.PeerMessage
import okio.Buffer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull

/** The frames of connections between controllers. */
object PeerProtocol {
    private val payload = byteArrayOf(-1, 0, 1)

    private val frames = listOf(
        frame("peer-heartbeat", PeerMessage.PeerHeartbeat("n-ü", 4_200)),
        frame("forwarded-heartbeat", PeerMessage.ForwardedHeartbeat("n-ü", 7, payload)),
        frame("forwarded-response", PeerMessage.ForwardedResponse(7, 421, payload)),
    )

    private fun frame(name: String, message: PeerMessage) = GoldenCase("$name.hex", {
        HexText.of(PeerFrames.encode(message))
    }) { fixture ->
        val input = Buffer().write(HexText.bytes(fixture))
        val decoded = checkNotNull(PeerFrames.next(input))
        assertNull(PeerFrames.next(input))
        assertEquals(fields(message), fields(decoded))
        assertEquals(fixture, HexText.of(PeerFrames.encode(decoded)))
    }

    private fun fields(message: PeerMessage): List<Any> = when (message) {
        is PeerMessage.PeerHeartbeat -> listOf(message)
        is PeerMessage.ForwardedHeartbeat -> listOf("heartbeat", message.from, message.id, message.heartbeat.toList())
        is PeerMessage.ForwardedResponse -> listOf("response", message.id, message.status, message.body.toList())
    }

    val suite = GoldenSuite("peers", frames)
}
