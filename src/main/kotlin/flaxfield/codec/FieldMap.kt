package flaxfield.codec

/**
 * A decoded map with typed accessors. For a field that is missing or of another type, the plain accessors return null
 * and the `require…` accessors throw [MalformedException].
 */
@JvmInline
value class FieldMap(val map: Map<String, Any?>) {
    /** Returns the string value of [key]. */
    fun text(key: String): String? = map[key] as? String

    /** Returns the required string value of [key]. */
    fun requireText(key: String): String = text(key) ?: invalid(key)

    /** Returns the numeric value of [key], integral or not. */
    fun number(key: String): Double? = when (val value = map[key]) {
        is Number -> value.toDouble()
        is ULong -> value.toDouble()
        else -> null
    }

    /** Returns the required numeric value of [key]. */
    fun requireNumber(key: String): Double = number(key) ?: invalid(key)

    /** Returns the unsigned 64-bit integer value of [key], such as a count, version, fencing token or attempt. */
    fun unsigned(key: String): ULong? = toUnsigned(map[key])

    /** Returns the required unsigned integer value of [key]. */
    fun requireUnsigned(key: String): ULong = unsigned(key) ?: invalid(key)

    /** Returns the unsigned integer value of [key] if it fits into an [Int]. */
    fun int(key: String): Int? = unsigned(key)?.let { if (it <= Int.MAX_VALUE.toULong()) it.toInt() else null }

    /** Returns the required unsigned integer value of [key], which must fit into an [Int]. */
    fun requireInt(key: String): Int = int(key) ?: invalid(key)

    /** Returns the boolean value of [key]. */
    fun boolean(key: String): Boolean? = map[key] as? Boolean

    /** Returns the required boolean value of [key]. */
    fun requireBoolean(key: String): Boolean = boolean(key) ?: invalid(key)

    /** Returns the nested map of [key]. */
    @Suppress("UNCHECKED_CAST")
    fun nestedMap(key: String): FieldMap? = (map[key] as? Map<String, Any?>)?.let { FieldMap(it) }

    /** Returns the required nested map of [key]. */
    fun requireMap(key: String): FieldMap = nestedMap(key) ?: invalid(key)

    /** Returns the list of [key], whose items may be of any type. */
    fun list(key: String): List<Any?>? = map[key] as? List<Any?>

    /** Returns the maps in the list of [key]. Skips items of other types; a missing list counts as empty. */
    @Suppress("UNCHECKED_CAST")
    fun mapList(key: String): List<FieldMap> =
        list(key).orEmpty().mapNotNull { (it as? Map<String, Any?>)?.let(::FieldMap) }

    /** Returns the list of strings of [key]; throws [MalformedException] if an item is not a string. */
    fun textList(key: String): List<String>? = list(key)?.map { it as? String ?: invalid(key) }

    private fun invalid(key: String): Nothing = throw MalformedException("$key is missing or invalid")

    companion object {
        /** Just below 2^53, from which a double no longer represents every integer exactly. */
        private const val MAX_EXACT_DOUBLE = 9.0e15

        /** Returns [value] as an unsigned integer, or null if it is negative, fractional or not a number. */
        fun toUnsigned(value: Any?): ULong? = when (value) {
            is ULong -> value
            is Long -> if (value >= 0) value.toULong() else null
            is Double -> if (isExactUnsigned(value)) value.toLong().toULong() else null
            else -> null
        }

        private fun isExactUnsigned(value: Double): Boolean =
            value >= 0 && value < MAX_EXACT_DOUBLE && value % 1.0 == 0.0

        /** Returns [value] as an unsigned integer; throws [MalformedException] if it is not one. */
        fun requireUnsigned(value: Any?): ULong = toUnsigned(value) ?: throw MalformedException("not a count")
    }
}
