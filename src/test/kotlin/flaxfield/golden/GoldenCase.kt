package flaxfield.golden

import flaxfield.codec.Cbor
import flaxfield.codec.FieldMap
import java.io.File

/**
 * One stored or sent form that must never change: [write] makes the fixture's text with the production code, [check]
 * compares a fixture's text with what the production code reads and writes.
 */
class GoldenCase(val name: String, val write: () -> String, val check: (fixture: String) -> Unit) {
    override fun toString() = name
}

/** The cases whose fixtures lie in one directory. */
class GoldenSuite(val directory: String, val cases: List<GoldenCase>) {
    /** Where the fixtures lie; tests run in the directory of the project. */
    val files: File get() = File(ROOT, directory)

    /** The file with the fixture of [case]. */
    fun file(case: GoldenCase): File = File(files, case.name)

    companion object {
        val ROOT = File("src/test/resources/golden")
    }
}

/** Bytes as text that can be reviewed: hexadecimal digits in lines of a fixed length. */
object HexText {
    private const val LINE_CHARACTERS = 96

    /** The text of [bytes]. */
    fun of(bytes: ByteArray): String = bytes.joinToString("") { "%02x".format(it) }.chunked(LINE_CHARACTERS).joinToString("") {
        it +
            "\n"
    }

    /** The bytes that [text] stands for. */
    fun bytes(text: String): ByteArray = text.filterNot { it.isWhitespace() }.chunked(2).map { it.toInt(radix = 16).toByte() }.toByteArray()
}

/** A map in CBOR, as the production code writes it. */
fun cborHex(map: Map<String, Any?>): String = HexText.of(Cbor.encode(map))

/** The map that a fixture in CBOR holds. */
fun decodeHex(text: String): FieldMap = Cbor.decode(HexText.bytes(text))
