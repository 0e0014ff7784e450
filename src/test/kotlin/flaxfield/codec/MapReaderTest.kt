package flaxfield.codec

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows

/**
 * Messages are decoded either as a tree or by streaming. Guards against a value that one of the two accepts and the
 * other rejects.
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

    private class FieldValue(val text: String?, val boolean: Boolean?, val number: Double?, val unsigned: ULong?)

    private fun readFields(bytes: ByteArray): Map<String, FieldValue> = buildMap {
        Cbor.read(bytes) { map ->
            map.forEachField { put(it, FieldValue(map.text(), map.boolean(), map.number(), map.unsigned())) }
        }
    }

    @Test
    fun `streaming and tree decoding return the same values`() {
        val map = values.withIndex().associate { (i, v) -> "field $i" to v }
        val bytes = Cbor.encode(map)
        val tree = Cbor.decode(bytes)
        val read = readFields(bytes)
        assertEquals(map.keys, read.keys)
        for ((name, value) in read) {
            assertEquals(tree.text(name), value.text, name)
            assertEquals(tree.boolean(name), value.boolean, name)
            assertEquals(tree.number(name), value.number, name)
            assertEquals(tree.unsigned(name), value.unsigned, name)
        }
    }

    @Test
    fun `the maps of a list are read and its other items are skipped`() {
        for (value in values) {
            val bytes = Cbor.encode(mapOf("before" to value, "list" to value, "after" to 1))
            val read = ArrayList<Double?>()
            var after: ULong? = null
            Cbor.read(bytes) { map ->
                map.forEachField { name ->
                    if (name == "list") map.forEachMap { map.forEachField { read += map.number() } }
                    if (name == "after") after = map.unsigned()
                }
            }
            assertEquals(
                Cbor.decode(bytes).mapList("list").flatMap { item ->
                    item.map.keys.map { item.number(it) }
                },
                read,
                value.toString(),
            )
            assertEquals(1uL, after, value.toString())
        }
    }

    @Test
    fun `rejects bytes that are not exactly one complete map`() {
        val document = Cbor.encode(mapOf("a" to listOf(mapOf("b" to 1))))
        val bodies = listOf(byteArrayOf(), byteArrayOf(0x01), byteArrayOf(0x80.toByte()), document + byteArrayOf(0x00)) +
            (1 until document.size).map { document.copyOf(it) }
        for (body in bodies) {
            assertThrows<MalformedException>(body.joinToString()) {
                Cbor.read(body) { map -> map.forEachField { map.forEachMap { } } }
            }
        }
    }
}
