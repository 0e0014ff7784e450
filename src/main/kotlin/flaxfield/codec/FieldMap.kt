package flaxfield.codec

/**
 * A decoded map with typed access. The plain accessors return null for a field that is missing or of another type; the
 * `require…` ones throw [MalformedException] for it.
 */
@JvmInline
value class FieldMap(val map: Map<String, Any?>) {
    /** The text of [key]. */
    fun text(key: String): String? = map[key] as? String

    /** The text of [key], which must be there. */
    fun requireText(key: String): String = text(key) ?: invalid(key)

    /** The number of [key], whole or not. */
    fun number(key: String): Double? = when (val value = map[key]) {
        is Number -> value.toDouble()
        is ULong -> value.toDouble()
        else -> null
    }

    /** The number of [key], which must be there. */
    fun requireNumber(key: String): Double = number(key) ?: invalid(key)

    /** An unsigned 64-bit integer: a count, version, token or attempt. */
    fun unsigned(key: String): ULong? = toUnsigned(map[key])

    /** The unsigned integer of [key], which must be there. */
    fun requireUnsigned(key: String): ULong = unsigned(key) ?: invalid(key)

    /** An unsigned integer that fits an [Int]. */
    fun int(key: String): Int? = unsigned(key)?.let { if (it <= Int.MAX_VALUE.toULong()) it.toInt() else null }

    /** The [Int] of [key], which must be there. */
    fun requireInt(key: String): Int = int(key) ?: invalid(key)

    /** The truth value of [key]. */
    fun boolean(key: String): Boolean? = map[key] as? Boolean

    /** The truth value of [key], which must be there. */
    fun requireBoolean(key: String): Boolean = boolean(key) ?: invalid(key)

    /** The map of [key]. */
    @Suppress("UNCHECKED_CAST")
    fun nestedMap(key: String): FieldMap? = (map[key] as? Map<String, Any?>)?.let { FieldMap(it) }

    /** The map of [key], which must be there. */
    fun requireMap(key: String): FieldMap = nestedMap(key) ?: invalid(key)

    /** A list of any values. */
    fun list(key: String): List<Any?>? = map[key] as? List<Any?>

    /** The maps in a list; other items are skipped, and a missing list counts as empty. */
    @Suppress("UNCHECKED_CAST")
    fun mapList(key: String): List<FieldMap> =
        list(key).orEmpty().mapNotNull { (it as? Map<String, Any?>)?.let(::FieldMap) }

    /** A list of texts; throws [MalformedException] if an item is not one. */
    fun textList(key: String): List<String>? = list(key)?.map { it as? String ?: invalid(key) }

    private fun invalid(key: String): Nothing = throw MalformedException("$key is missing or invalid")

    companion object {
        /** From here on not every integer has a double of its own. */
        private const val MAX_EXACT_DOUBLE = 9.0e15

        /** The value as an unsigned integer, or null if it is negative, not whole or not a number. */
        fun toUnsigned(value: Any?): ULong? = when (value) {
            is ULong -> value
            is Long -> if (value >= 0) value.toULong() else null
            is Double -> if (isExactUnsigned(value)) value.toLong().toULong() else null
            else -> null
        }

        private fun isExactUnsigned(value: Double): Boolean =
            value >= 0 && value < MAX_EXACT_DOUBLE && value % 1.0 == 0.0

        /** The same for an item of a list; throws [MalformedException] if it is none. */
        fun requireUnsigned(value: Any?): ULong = toUnsigned(value) ?: throw MalformedException("not a count")
    }
}
