package flaxfield.codec

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows

class CborTest {
    @Test
    fun `an unsigned integer up to 2^64-1 survives a round trip`() {
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
    fun `negative, fractional and non-numeric values are not unsigned integers`() {
        for (n in listOf(-1L, Long.MIN_VALUE, -1.0, 1.5, Double.NaN, "7", true, null)) {
            assertEquals(null, Cbor.decode(Cbor.encode(mapOf("n" to n))).unsigned("n"), n.toString())
        }
        assertEquals(4uL, Cbor.decode(Cbor.encode(mapOf("n" to 4.0))).unsigned("n"))
    }

    @Test
    fun `rejects bytes that are not exactly one map`() {
        val bodies = listOf(
            byteArrayOf(),
            byteArrayOf(0x01),
            byteArrayOf(0x80.toByte()),
            byteArrayOf(0xa1.toByte(), 0x61),
            Cbor.encode(mapOf("a" to 1)) + byteArrayOf(0x00),
            "{}".toByteArray(),
        )
        for (body in bodies) assertThrows<MalformedException> { Cbor.decode(body) }
    }
}
