package flaxfield.codec

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows

/**
 * Two ways lead from bytes to messages: a tree, and field by field. A field that one takes and the other refuses would
 * be a trap.
 */
class MapReaderTest {
    private val values = listOf(
        0, 7, -1, Int.MAX_VALUE, Long.MAX_VALUE, Long.MIN_VALUE, Long.MAX_VALUE.toULong() + 1uL, ULong.MAX_VALUE,
        0.0, 4.0, 1.5, -1.5, 1e300, Double.NaN, "", "7", "text", true, false, null,
        emptyList<Any>(), listOf(1, "a", null), emptyMap<String, Any>(), mapOf("text" to "in here"),
        listOf(
            mapOf("a" to 1),
            2,
            mapOf(
                "a" to 3,
            ),
        ),
    )

    private class Seen(val text: String?, val flag: Boolean?, val number: Double?, val count: ULong?)

    private fun fields(bytes: ByteArray): Map<String, Seen> = buildMap {
        Cbor.read(bytes) { map ->
            map.forEachField { put(it, Seen(map.text(), map.boolean(), map.number(), map.unsigned())) }
        }
    }

    @Test
    fun `each value reads as it does from a tree`() {
        val map = values.withIndex().associate { (i, v) -> "field $i" to v }
        val bytes = Cbor.encode(map)
        val tree = Cbor.decode(bytes)
        val read = fields(bytes)
        assertEquals(map.keys, read.keys)
        for ((name, seen) in read) {
            assertEquals(tree.text(name), seen.text, name)
            assertEquals(tree.boolean(name), seen.flag, name)
            assertEquals(tree.number(name), seen.number, name)
            assertEquals(tree.unsigned(name), seen.count, name)
        }
    }

    @Test
    fun `lists give their maps and nothing else`() {
        for (v in values) {
            val bytes = Cbor.encode(mapOf("before" to v, "list" to v, "after" to 1))
            val found = ArrayList<Double?>()
            var after: ULong? = null
            Cbor.read(bytes) { map ->
                map.forEachField { name ->
                    if (name == "list") map.forEachMap { map.forEachField { found += map.number() } }
                    if (name == "after") after = map.unsigned()
                }
            }
            assertEquals(
                Cbor.decode(bytes).mapList("list").flatMap { o ->
                    o.map.keys.map { o.number(it) }
                },
                found,
                v.toString(),
            )
            assertEquals(1uL, after, v.toString())
        }
    }

    @Test
    fun `what is no whole map is refused`() {
        val whole = Cbor.encode(mapOf("a" to listOf(mapOf("b" to 1))))
        val bodies = listOf(byteArrayOf(), byteArrayOf(0x01), byteArrayOf(0x80.toByte()), whole + byteArrayOf(0x00)) +
            (1 until whole.size).map { whole.copyOf(it) }
        for (b in bodies) {
            assertThrows<MalformedException>(b.joinToString()) {
                Cbor.read(b) { map -> map.forEachField { map.forEachMap { } } }
            }
        }
    }
}
