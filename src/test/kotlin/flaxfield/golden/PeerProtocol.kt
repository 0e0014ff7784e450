package flaxfield.golden

import flaxfield.peers.PeerFrames
import flaxfield.peers.PeerMessage
import okio.Buffer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull

/** The frames of the link between controllers. */
object PeerProtocol {
    private val heartbeat = byteArrayOf(-1, 0, 1)

    private val frames = listOf(
        frame("pulse", PeerMessage.PeerHeartbeat("n-ü", 4_200)),
        frame("relay", PeerMessage.ForwardedHeartbeat("n-ü", 7, heartbeat)),
        frame("relayed", PeerMessage.ForwardedResponse(7, 421, heartbeat)),
    )

    private fun frame(name: String, message: PeerMessage) = GoldenCase("$name.hex", {
        HexText.of(PeerFrames.encode(message))
    }) { fixture ->
        val input = Buffer().write(HexText.bytes(fixture))
        val read = checkNotNull(PeerFrames.next(input))
        assertNull(PeerFrames.next(input))
        assertEquals(fields(message), fields(read))
        assertEquals(fixture, HexText.of(PeerFrames.encode(read)))
    }

    private fun fields(message: PeerMessage): List<Any> = when (message) {
        is PeerMessage.PeerHeartbeat -> listOf(message)
        is PeerMessage.ForwardedHeartbeat -> listOf("relay", message.from, message.id, message.heartbeat.toList())
        is PeerMessage.ForwardedResponse -> listOf("relayed", message.id, message.status, message.body.toList())
    }

    val suite = GoldenSuite("peers", frames)
}
