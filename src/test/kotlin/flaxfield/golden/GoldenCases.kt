package flaxfield.golden

import org.junit.jupiter.api.Assertions.assertEquals

/** Builders of the kinds of cases. */
object GoldenCases {
    /** A record in CBOR that production both writes and reads. */
    fun <T> record(name: String, value: T, encode: (T) -> Map<String, Any?>, decode: (flaxfield.codec.FieldMap) -> T) = GoldenCase(
        "$name.hex",
        { cborHex(encode(value)) },
        { fixture ->
            val decoded = decode(decodeHex(fixture))
            assertEquals(value, decoded)
            assertEquals(fixture, cborHex(encode(decoded)))
        },
    )

    /** A message in CBOR that production only writes. */
    fun encodeOnly(name: String, encode: () -> Map<String, Any?>) = textOnly("$name.encode-only.hex") { cborHex(encode()) }

    /** A message in CBOR that production only reads; the fixture is written from [wire], the sender's map. */
    fun <T> decodeOnly(name: String, wire: Map<String, Any?>, expected: T, decode: (ByteArray) -> T) = GoldenCase(
        "$name.decode-only.hex",
        { cborHex(wire) },
        { fixture -> assertEquals(expected, decode(HexText.bytes(fixture))) },
    )

    /** A text that production writes, or bytes in a form of their own. */
    fun textOnly(name: String, text: () -> String) = GoldenCase(name, text) { fixture -> assertEquals(fixture, text()) }

    /** A text file of an operator or of the platform, which production only reads. */
    fun <T> fileDecode(name: String, source: String, expected: T, decode: (String) -> T) = GoldenCase(
        name,
        { source },
        { fixture -> assertEquals(expected, decode(fixture)) },
    )
}
