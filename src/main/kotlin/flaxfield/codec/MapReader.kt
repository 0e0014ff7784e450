package flaxfield.codec

import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken

/**
 * A streaming reader of one map, which decodes a typed message without building the tree that a [FieldMap] wraps. It is
 * meant for messages that arrive hundreds of times a second. A value of another type than requested is read as null
 * and skipped.
 */
class MapReader internal constructor(private val parser: JsonParser) {
    /** Calls [field] with the name of each field, and skips the part of its value that [field] does not read. */
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

    /** Calls [item] for each map in the current value if it is a list, and skips items of other types. */
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

    /** Returns the current value if it is a string. */
    fun text(): String? = if (parser.currentToken() == JsonToken.VALUE_STRING) parser.text else null

    /** Returns the current value if it is a boolean. */
    fun boolean(): Boolean? = when (parser.currentToken()) {
        JsonToken.VALUE_TRUE -> true
        JsonToken.VALUE_FALSE -> false
        else -> null
    }

    /** Returns the current value if it is a number. */
    fun number(): Double? = when (parser.currentToken()) {
        JsonToken.VALUE_NUMBER_INT, JsonToken.VALUE_NUMBER_FLOAT -> parser.doubleValue
        else -> null
    }

    /** Returns the current value if it is an unsigned 64-bit integer. */
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
