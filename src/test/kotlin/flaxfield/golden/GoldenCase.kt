package flaxfield.golden

import flaxfield.codec.Cbor
import flaxfield.codec.FieldMap
import java.io.File

/**
 * A stored or transmitted format that must never change. [write] returns the text of the fixture as the production code
 * encodes it; [check] asserts that the production code still decodes and encodes the given text of the fixture.
 */
class GoldenCase(val name: String, val write: () -> String, val check: (fixture: String) -> Unit) {
    override fun toString() = name
}

/** The cases whose fixtures are in the same [directory]. */
class GoldenSuite(val directory: String, val cases: List<GoldenCase>) {
    /** The directory of the fixtures, relative to the project directory, in which tests run. */
    val files: File get() = File(ROOT, directory)

    /** Returns the fixture file of [case]. */
    fun file(case: GoldenCase): File = File(files, case.name)

    companion object {
        val ROOT = File("src/test/resources/golden")
    }
}

/** Converts bytes to hexadecimal text in lines of a fixed length, which can be reviewed, and back. */
object HexText {
    private const val LINE_CHARACTERS = 96

    /** Returns [bytes] as hexadecimal text. */
    fun of(bytes: ByteArray): String = bytes.joinToString("") { "%02x".format(it) }.chunked(LINE_CHARACTERS).joinToString("") { it + "\n" }

    /** Returns the bytes of the hexadecimal [text]. */
    fun bytes(text: String): ByteArray = text.filterNot { it.isWhitespace() }.chunked(2).map { it.toInt(radix = 16).toByte() }.toByteArray()
}

/** Returns the CBOR encoding of [map] as hexadecimal text. */
fun cborHex(map: Map<String, Any?>): String = HexText.of(Cbor.encode(map))

/** Decodes the map in a CBOR fixture. */
fun decodeHex(text: String): FieldMap = Cbor.decode(HexText.bytes(text))
