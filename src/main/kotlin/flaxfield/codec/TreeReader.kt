package flaxfield.codec

import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.StreamReadConstraints
import java.io.IOException
import java.math.BigInteger

/**
 * Reads documents whose root is a map from a Jackson parser, for CBOR and JSON alike. Uses only the streaming API,
 * since data binding would cost memory and startup time.
 */
internal object TreeReader {
    private const val MAX_DEPTH = 32
    private const val ULONG_BITS = 64

    /** The limits that parsers enforce on every document. */
    val constraints: StreamReadConstraints = StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build()

    /** Reads the single map of [parser] as a tree of maps, lists and scalar values. */
    fun read(parser: JsonParser): FieldMap = read(parser) { FieldMap(readMap(it)) }

    /**
     * Reads the single map of [parser] with [read], which is called at the start of the map and must consume all of it.
     */
    inline fun <T> read(parser: JsonParser, read: (JsonParser) -> T): T {
        try {
            parser.use {
                if (it.nextToken() != JsonToken.START_OBJECT) throw MalformedException("not a map")
                val value = read(it)
                if (it.nextToken() != null) throw MalformedException("bytes after the map")
                return value
            }
        } catch (e: IOException) {
            throw MalformedException(e.message?.lineSequence()?.firstOrNull() ?: "unreadable", e)
        }
    }

    private fun readMap(parser: JsonParser): Map<String, Any?> {
        val map = LinkedHashMap<String, Any?>()
        while (true) {
            when (parser.nextToken()) {
                JsonToken.END_OBJECT -> return map
                JsonToken.FIELD_NAME -> {
                    val name = parser.currentName()
                    parser.nextToken()
                    map[name] = readValue(parser)
                }
                else -> throw MalformedException("map not closed")
            }
        }
    }

    private fun readList(parser: JsonParser): List<Any?> {
        val list = ArrayList<Any?>()
        while (true) {
            val token = parser.nextToken() ?: throw MalformedException("list not closed")
            if (token == JsonToken.END_ARRAY) return list
            list.add(readValue(parser))
        }
    }

    private fun readValue(parser: JsonParser): Any? = when (parser.currentToken()) {
        JsonToken.START_OBJECT -> readMap(parser)
        JsonToken.START_ARRAY -> readList(parser)
        JsonToken.VALUE_STRING -> parser.text
        JsonToken.VALUE_NUMBER_INT -> readInteger(parser)
        JsonToken.VALUE_NUMBER_FLOAT -> parser.doubleValue
        JsonToken.VALUE_TRUE -> true
        JsonToken.VALUE_FALSE -> false
        JsonToken.VALUE_NULL -> null
        else -> throw MalformedException("unexpected value")
    }

    private fun readInteger(parser: JsonParser): Any = if (parser.numberType == JsonParser.NumberType.BIG_INTEGER) {
        unsigned(parser.bigIntegerValue)
    } else {
        parser.longValue
    }

    /**
     * Returns an integer beyond the range of [Long] as an unsigned one; throws [MalformedException] if it is negative
     * or exceeds 64 bits.
     */
    fun unsigned(value: BigInteger): ULong {
        if (value.signum() < 0 || value.bitLength() > ULONG_BITS) throw MalformedException("number too large")
        return value.toLong().toULong()
    }
}
