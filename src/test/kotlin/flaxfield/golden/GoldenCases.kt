package flaxfield.golden

import flaxfield.codec.FieldMap
import org.junit.jupiter.api.Assertions.assertEquals

/** Creates cases of different kinds. */
object GoldenCases {
    /** A CBOR record that the production code both encodes and decodes. */
    fun <T> record(name: String, value: T, encode: (T) -> Map<String, Any?>, decode: (FieldMap) -> T) = GoldenCase(
        "$name.hex",
        { cborHex(encode(value)) },
        { fixture ->
            val decoded = decode(decodeHex(fixture))
            assertEquals(value, decoded)
            assertEquals(fixture, cborHex(encode(decoded)))
        },
    )

    /** A CBOR message that the production code only encodes. */
    fun encodeOnly(name: String, encode: () -> Map<String, Any?>) = textOnly("$name.encode-only.hex") { cborHex(encode()) }

    /** A CBOR message that the production code only decodes; the fixture encodes [wire], the map that the sender encodes. */
    fun <T> decodeOnly(name: String, wire: Map<String, Any?>, expected: T, decode: (ByteArray) -> T) = GoldenCase(
        "$name.decode-only.hex",
        { cborHex(wire) },
        { fixture -> assertEquals(expected, decode(HexText.bytes(fixture))) },
    )

    /** A text that the production code writes, or a textual form of its output. */
    fun textOnly(name: String, text: () -> String) = GoldenCase(name, text) { fixture -> assertEquals(fixture, text()) }

    /** A text file of an operator or of the platform, which the production code only reads. */
    fun <T> fileDecode(name: String, source: String, expected: T, decode: (String) -> T) = GoldenCase(
        name,
        { source },
        { fixture -> assertEquals(expected, decode(fixture)) },
    )
}
