package flaxfield.codec

import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken

/**
 * Reads one map field by field, straight into a typed message: without the tree of maps that [FieldMap] stands on. For
 * the messages that come by the hundred a second. A value of another type than asked for reads as null and is passed
 * over.
 */
class MapReader internal constructor(private val parser: JsonParser) {
    /** Calls [field] with the name of each field; whatever of its value [field] does not read is passed over. */
    fun forEachField(field: (String) -> Unit) {
        while (true) {
            when (parser.nextToken()) {
                JsonToken.END_OBJECT -> return
                JsonToken.FIELD_NAME -> {
                    val name = parser.currentName()
                    parser.nextToken()
                    field(name)
                    parser.skipChildren()
                }
                else -> throw MalformedException("map not closed")
            }
        }
    }

    /** Calls [item] for each map in the list that stands here; what else is in it is passed over. */
    fun forEachMap(item: () -> Unit) {
        if (parser.currentToken() != JsonToken.START_ARRAY) return
        while (true) {
            when (parser.nextToken()) {
                JsonToken.END_ARRAY -> return
                JsonToken.START_OBJECT -> item()
                null -> throw MalformedException("list not closed")
                else -> parser.skipChildren()
            }
        }
    }

    /** The text that stands here. */
    fun text(): String? = if (parser.currentToken() == JsonToken.VALUE_STRING) parser.text else null

    /** The truth value that stands here. */
    fun flag(): Boolean? = when (parser.currentToken()) {
        JsonToken.VALUE_TRUE -> true
        JsonToken.VALUE_FALSE -> false
        else -> null
    }

    /** The number that stands here. */
    fun number(): Double? = when (parser.currentToken()) {
        JsonToken.VALUE_NUMBER_INT, JsonToken.VALUE_NUMBER_FLOAT -> parser.doubleValue
        else -> null
    }

    /** The count, version, token or attempt that stands here: an unsigned 64-bit integer. */
    fun count(): ULong? = when (parser.currentToken()) {
        JsonToken.VALUE_NUMBER_INT -> if (parser.numberType == JsonParser.NumberType.BIG_INTEGER) {
            Cbor.unsigned(parser.bigIntegerValue)
        } else {
            FieldMap.toCount(parser.longValue)
        }
        JsonToken.VALUE_NUMBER_FLOAT -> FieldMap.toCount(parser.doubleValue)
        else -> null
    }
}
