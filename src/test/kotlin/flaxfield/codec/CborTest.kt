package flaxfield.codec

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows

class CborTest {
    @Test
    fun `counts up to 2^64-1 survive a round trip`() {
        for (n in listOf(
            0uL,
            1uL,
            255uL,
            65_536uL,
            Long.MAX_VALUE.toULong(),
            Long.MAX_VALUE.toULong() + 1uL,
            ULong.MAX_VALUE,
        )) {
            assertEquals(n, Cbor.decode(Cbor.encode(mapOf("n" to n))).unsigned("n"))
        }
    }

    @Test
    fun `negative and broken numbers are no counts`() {
        for (n in listOf(-1L, Long.MIN_VALUE, -1.0, 1.5, Double.NaN, "7", true, null)) {
            assertEquals(null, Cbor.decode(Cbor.encode(mapOf("n" to n))).unsigned("n"), n.toString())
        }
        assertEquals(4uL, Cbor.decode(Cbor.encode(mapOf("n" to 4.0))).unsigned("n"))
    }

    @Test
    fun `what is no map is refused`() {
        val bodies = listOf(
            byteArrayOf(),
            byteArrayOf(0x01),
            byteArrayOf(0x80.toByte()),
            byteArrayOf(0xa1.toByte(), 0x61),
            Cbor.encode(mapOf("a" to 1)) + byteArrayOf(0x00),
            "{}".toByteArray(),
        )
        for (b in bodies) assertThrows<MalformedException> { Cbor.decode(b) }
    }
}
