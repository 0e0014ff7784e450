package flaxfield.codec

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator
import java.io.ByteArrayOutputStream
import java.math.BigInteger

/**
 * Encodes and decodes CBOR documents as trees of maps, lists, strings, numbers, booleans and null.
 *
 * Decoded integers above 2^63-1 are represented as [ULong], all others as [Long].
 */
object Cbor {
    private const val INITIAL_BUFFER_BYTES = 256

    private val factory: CBORFactory =
        CBORFactory.builder()
            .streamReadConstraints(TreeReader.constraints)
            .enable(CBORGenerator.Feature.WRITE_MINIMAL_INTS)
            .build()

    /** Decodes a single CBOR map; throws [MalformedException] if [bytes] contain anything else. */
    fun decode(bytes: ByteArray): FieldMap = TreeReader.read(factory.createParser(bytes))

    /**
     * Decodes a single CBOR map with [read], which must consume all fields; throws [MalformedException] like [decode].
     */
    fun <T> read(bytes: ByteArray, read: (MapReader) -> T): T =
        TreeReader.read(factory.createParser(bytes)) { read(MapReader(it)) }

    /** Encodes [map] as CBOR. */
    fun encode(map: Map<String, Any?>): ByteArray {
        val out = ByteArrayOutputStream(INITIAL_BUFFER_BYTES)
        factory.createGenerator(out).use { write(it, map) }
        return out.toByteArray()
    }

    private fun write(generator: JsonGenerator, value: Any?) {
        when (value) {
            null -> generator.writeNull()
            is Map<*, *> -> writeMap(generator, value)
            is Collection<*> -> writeList(generator, value)
            is String -> generator.writeString(value)
            is Boolean -> generator.writeBoolean(value)
            is Int -> generator.writeNumber(value)
            is Long -> generator.writeNumber(value)
            is ULong -> writeUnsigned(generator, value)
            is Double -> generator.writeNumber(value)
            is FieldMap -> write(generator, value.map)
            else -> error("no CBOR encoding for ${value::class.java}")
        }
    }

    private fun writeMap(generator: JsonGenerator, map: Map<*, *>) {
        generator.writeStartObject()
        for ((key, value) in map) {
            generator.writeFieldName(key.toString())
            write(generator, value)
        }
        generator.writeEndObject()
    }

    private fun writeList(generator: JsonGenerator, list: Collection<*>) {
        generator.writeStartArray()
        for (value in list) write(generator, value)
        generator.writeEndArray()
    }

    private fun writeUnsigned(generator: JsonGenerator, value: ULong) {
        if (value <= Long.MAX_VALUE.toULong()) {
            generator.writeNumber(value.toLong())
        } else {
            generator.writeNumber(BigInteger(value.toString()))
        }
    }
}
