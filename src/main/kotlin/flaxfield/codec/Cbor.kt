package flaxfield.codec

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.StreamReadConstraints
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.math.BigInteger

/** Thrown for bytes that are not the map we expect, or for a field that is missing or invalid. */
class MalformedException(message: String) : Exception(message)

/**
 * CBOR and JSON bodies as plain trees of maps, lists, text, numbers, booleans and null.
 *
 * Only Jackson's streaming interface is used: data binding would cost memory and start-up time.
 * Counts are unsigned 64-bit: those above 2^63-1 are held as [ULong], all other integers as [Long].
 */
object Cbor {
    private const val MAX_DEPTH = 32
    private val limits = StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build()
    private val cbor: CBORFactory =
        CBORFactory.builder()
            .streamReadConstraints(limits)
            .enable(CBORGenerator.Feature.WRITE_MINIMAL_INTS)
            .build()
    private val json: JsonFactory = JsonFactory.builder().streamReadConstraints(limits).build()

    /** Decodes one CBOR map. */
    fun decode(bytes: ByteArray): FieldMap = parse(cbor.createParser(bytes))

    /** Decodes one JSON object: the platform's settings file. */
    fun decodeJson(bytes: ByteArray): FieldMap = parse(json.createParser(bytes))

    /** Encodes a map as CBOR. */
    fun encode(map: Map<String, Any?>): ByteArray {
        val out = ByteArrayOutputStream(INITIAL_BYTES)
        cbor.createGenerator(out).use { write(it, map) }
        return out.toByteArray()
    }

    /** Reads one CBOR map with [read], which must read all of its fields. */
    fun <T> read(bytes: ByteArray, read: (MapReader) -> T): T = parse(cbor.createParser(bytes)) { read(MapReader(it)) }

    private fun parse(parser: JsonParser): FieldMap = parse(parser) { FieldMap(readMap(it)) }

    private inline fun <T> parse(parser: JsonParser, read: (JsonParser) -> T): T {
        try {
            parser.use {
                if (it.nextToken() != JsonToken.START_OBJECT) throw MalformedException("not a map")
                val value = read(it)
                if (it.nextToken() != null) throw MalformedException("bytes after the map")
                return value
            }
        } catch (e: IOException) {
            throw MalformedException(e.message?.lineSequence()?.firstOrNull() ?: "unreadable")
        }
    }

    private fun readMap(p: JsonParser): Map<String, Any?> {
        val map = LinkedHashMap<String, Any?>()
        while (true) {
            when (p.nextToken()) {
                JsonToken.END_OBJECT -> return map
                JsonToken.FIELD_NAME -> {
                    val name = p.currentName()
                    p.nextToken()
                    map[name] = readValue(p)
                }
                else -> throw MalformedException("map not closed")
            }
        }
    }

    private fun readValue(p: JsonParser): Any? = when (p.currentToken()) {
        JsonToken.START_OBJECT -> readMap(p)
        JsonToken.START_ARRAY -> {
            val list = ArrayList<Any?>()
            while (true) {
                val token = p.nextToken() ?: throw MalformedException("list not closed")
                if (token == JsonToken.END_ARRAY) break
                list.add(readValue(p))
            }
            list
        }
        JsonToken.VALUE_STRING -> p.text
        JsonToken.VALUE_NUMBER_INT -> if (p.numberType == JsonParser.NumberType.BIG_INTEGER) {
            unsigned(p.bigIntegerValue)
        } else {
            p.longValue
        }
        JsonToken.VALUE_NUMBER_FLOAT -> p.doubleValue
        JsonToken.VALUE_TRUE -> true
        JsonToken.VALUE_FALSE -> false
        JsonToken.VALUE_NULL -> null
        else -> throw MalformedException("unexpected value")
    }

    internal fun unsigned(big: BigInteger): ULong {
        if (big.signum() < 0 || big.bitLength() > ULONG_BITS) throw MalformedException("number too large")
        return big.toLong().toULong()
    }

    private fun write(g: JsonGenerator, value: Any?) {
        when (value) {
            null -> g.writeNull()
            is Map<*, *> -> {
                g.writeStartObject()
                for ((k, v) in value) {
                    g.writeFieldName(k.toString())
                    write(g, v)
                }
                g.writeEndObject()
            }
            is Collection<*> -> {
                g.writeStartArray()
                for (v in value) write(g, v)
                g.writeEndArray()
            }
            is String -> g.writeString(value)
            is Boolean -> g.writeBoolean(value)
            is Int -> g.writeNumber(value)
            is Long -> g.writeNumber(value)
            is ULong -> if (value <= Long.MAX_VALUE.toULong()) {
                g.writeNumber(value.toLong())
            } else {
                g.writeNumber(BigInteger(value.toString()))
            }
            is Double -> g.writeNumber(value)
            is FieldMap -> write(g, value.map)
            else -> error("no encoding for ${value::class.java}")
        }
    }

    private const val INITIAL_BYTES = 256
    private const val ULONG_BITS = 64
}

/** A decoded map with typed access; the `taskResources…` calls throw [MalformedException] on a missing field. */
@JvmInline
value class FieldMap(val map: Map<String, Any?>) {
    fun text(key: String): String? = map[key] as? String

    fun requireText(key: String): String = text(key) ?: bad(key)

    fun number(key: String): Double? = when (val v = map[key]) {
        is Number -> v.toDouble()
        is ULong -> v.toDouble()
        else -> null
    }

    fun requireNumber(key: String): Double = number(key) ?: bad(key)

    /** A count, version, token or attempt: an unsigned 64-bit integer. */
    fun count(key: String): ULong? = toCount(map[key])

    fun requireUnsigned(key: String): ULong = count(key) ?: bad(key)

    fun int(key: String): Int? = count(key)?.let { if (it <= Int.MAX_VALUE.toULong()) it.toInt() else null }

    fun requireInt(key: String): Int = int(key) ?: bad(key)

    fun flag(key: String): Boolean? = map[key] as? Boolean

    fun requireBoolean(key: String): Boolean = flag(key) ?: bad(key)

    @Suppress("UNCHECKED_CAST")
    fun obj(key: String): FieldMap? = (map[key] as? Map<String, Any?>)?.let { FieldMap(it) }

    fun requireMap(key: String): FieldMap = obj(key) ?: bad(key)

    fun list(key: String): List<Any?>? = map[key] as? List<Any?>

    @Suppress("UNCHECKED_CAST")
    fun mapList(key: String): List<FieldMap> =
        list(key).orEmpty().mapNotNull { (it as? Map<String, Any?>)?.let(::FieldMap) }

    fun textList(key: String): List<String>? = list(key)?.map { it as? String ?: bad(key) }

    private fun bad(key: String): Nothing = throw MalformedException("$key is missing or invalid")

    companion object {
        /** Above this a double no longer tells neighbouring integers apart. */
        private const val EXACT = 9.0e15

        /** The value as a count, or null if it is negative, broken or no number. */
        fun toCount(v: Any?): ULong? = when (v) {
            is ULong -> v
            is Long -> if (v >= 0) v.toULong() else null
            is Double -> if (v >= 0 && v < EXACT && v % 1.0 == 0.0) v.toLong().toULong() else null
            else -> null
        }

        /** A count inside a list of ours. */
        fun requireUnsigned(v: Any?): ULong = toCount(v) ?: throw MalformedException("not a count")
    }
}
