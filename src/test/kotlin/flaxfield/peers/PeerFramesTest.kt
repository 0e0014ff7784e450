package flaxfield.peers

import flaxfield.codec.MalformedException
import okio.Buffer
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows

class PeerFramesTest {
    @Test
    fun `decodes whole frames however the byte stream is split`() {
        val bytes = PeerFrames.encode(PeerMessage.PeerHeartbeat("n-0", 42)) +
            PeerFrames.encode(PeerMessage.ForwardedHeartbeat("n-ü", 7, byteArrayOf(1, 2, 3))) +
            PeerFrames.encode(PeerMessage.ForwardedResponse(7, 200, byteArrayOf(9)))
        for (step in listOf(1, 2, 5, bytes.size)) {
            val input = Buffer()
            val decoded = ArrayList<PeerMessage>()
            for (part in bytes.toList().chunked(step)) {
                input.write(part.toByteArray())
                while (true) decoded += PeerFrames.next(input) ?: break
            }
            assertEquals(PeerMessage.PeerHeartbeat("n-0", 42), decoded[0])
            val heartbeat = decoded[1] as PeerMessage.ForwardedHeartbeat
            assertEquals("n-ü" to 7L, heartbeat.from to heartbeat.id)
            assertArrayEquals(byteArrayOf(1, 2, 3), heartbeat.heartbeat)
            val response = decoded[2] as PeerMessage.ForwardedResponse
            assertEquals(7L to 200, response.id to response.status)
            assertNull(PeerFrames.next(input))
        }
    }

    @Test
    fun `rejects a malformed frame`() {
        val table = listOf(
            Buffer().writeInt(0),
            Buffer().writeInt(-1),
            Buffer().writeInt(10_000_000),
            Buffer().writeInt(1).writeByte(99),
            Buffer().writeInt(13).writeByte(2).writeLong(1).writeInt(500),
        )
        for (input in table) assertThrows<MalformedException> { PeerFrames.next(input) }
    }
}
