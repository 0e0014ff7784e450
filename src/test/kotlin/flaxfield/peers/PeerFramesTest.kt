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
    fun `frames arrive whole however the bytes are cut`() {
        val bytes = PeerFrames.encode(PeerMessage.PeerHeartbeat("n-0", 42)) +
            PeerFrames.encode(PeerMessage.ForwardedHeartbeat("n-ü", 7, byteArrayOf(1, 2, 3))) +
            PeerFrames.encode(PeerMessage.ForwardedResponse(7, 200, byteArrayOf(9)))
        for (step in listOf(1, 2, 5, bytes.size)) {
            val input = Buffer()
            val got = ArrayList<PeerMessage>()
            for (part in bytes.toList().chunked(step)) {
                input.write(part.toByteArray())
                while (true) got += PeerFrames.next(input) ?: break
            }
            assertEquals(PeerMessage.PeerHeartbeat("n-0", 42), got[0])
            val relay = got[1] as PeerMessage.ForwardedHeartbeat
            assertEquals("n-ü" to 7L, relay.from to relay.id)
            assertArrayEquals(byteArrayOf(1, 2, 3), relay.heartbeat)
            val relayed = got[2] as PeerMessage.ForwardedResponse
            assertEquals(7L to 200, relayed.id to relayed.status)
            assertNull(PeerFrames.next(input))
        }
    }

    @Test
    fun `what is no frame is refused`() {
        val table = listOf(
            Buffer().writeInt(0),
            Buffer().writeInt(-1),
            Buffer().writeInt(10_000_000),
            Buffer().writeInt(1).writeByte(99),
            Buffer().writeInt(13).writeByte(2).writeLong(1).writeInt(500),
        )
        for (b in table) assertThrows<MalformedException> { PeerFrames.next(b) }
    }
}
