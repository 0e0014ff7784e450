package flaxfield.codec

import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken

/**
 * Reads one map field by field into a typed message, without building a tree as [FieldMap] needs; for messages that
 * arrive hundreds of times a second. A value of another type than requested reads as null and is skipped.
 */
class MapReader internal constructor(private val parser: JsonParser) {
    /** Calls [field] with the name of each field; what [field] does not read of the value is skipped. */
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

    /** Calls [item] for each map in the current value, which is a list; other items are skipped. */
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

    /** The current value as text. */
    fun text(): String? = if (parser.currentToken() == JsonToken.VALUE_STRING) parser.text else null

    /** The current value as a boolean. */
    fun boolean(): Boolean? = when (parser.currentToken()) {
        JsonToken.VALUE_TRUE -> true
        JsonToken.VALUE_FALSE -> false
        else -> null
    }

    /** The current value as a number. */
    fun number(): Double? = when (parser.currentToken()) {
        JsonToken.VALUE_NUMBER_INT, JsonToken.VALUE_NUMBER_FLOAT -> parser.doubleValue
        else -> null
    }

    /** The current value as an unsigned 64-bit integer: a count, version, token or attempt. */
    fun unsigned(): ULong? = when (parser.currentToken()) {
        JsonToken.VALUE_NUMBER_INT -> if (parser.numberType == JsonParser.NumberType.BIG_INTEGER) {
            TreeReader.unsigned(parser.bigIntegerValue)
        } else {
            FieldMap.toUnsigned(parser.longValue)
        }
        JsonToken.VALUE_NUMBER_FLOAT -> FieldMap.toUnsigned(parser.doubleValue)
        else -> null
    }
}
