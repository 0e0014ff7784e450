package flaxfield.store

import flaxfield.BYTES_PER_KIB
import flaxfield.settings.StateLimits

/**
 * Whether the state service takes a transaction of this size, counted as PROTOCOL-flaxfield.md counts: as JSON. Pure;
 * nothing is written to be measured.
 */
object TransactionSize {
    private const val MAX_TRANSACTION_BYTES = 64 * BYTES_PER_KIB
    private const val MAX_KEY_BYTES = 200

    /** Conditions may be this many times as many as changes. */
    private const val CONDITIONS_PER_CHANGE = 4

    /** What the names and marks around one condition or change take. */
    private const val OVERHEAD_BYTES = 40
    private const val NULL_BYTES = 4
    private const val TRUE_BYTES = 4
    private const val FALSE_BYTES = 5

    /** Brackets, braces or quotes. */
    private const val ENCLOSING_BYTES = 2
    private const val COMMA_BYTES = 1
    private const val COLON_BYTES = 1

    /** Characters that are written as they are. */
    private val PLAIN_CODES = 0x20..0x7e
    private const val PLAIN_BYTES = 1

    /** The longest form of any other character, a `\u` escape. */
    private const val ESCAPED_BYTES = 6

    /** Why [transaction] would be refused at any time, or null. */
    fun fault(transaction: Transaction, limits: StateLimits): String? {
        var total = transaction.conditions.keys.sumOf { it.length + OVERHEAD_BYTES }
        for (change in transaction.changes) {
            val valueBytes = if (change is Change.Put) jsonBytes(change.value) else 0
            if (valueBytes > limits.valueKb * BYTES_PER_KIB) return "value of ${change.key} takes $valueBytes bytes"
            if (change.key.length > MAX_KEY_BYTES) return "key ${change.key} is too long"
            total += valueBytes + change.key.length + OVERHEAD_BYTES
        }
        val changes = transaction.changes.size
        val conditions = transaction.conditions.size
        return when {
            changes > limits.txnOps -> "$changes changes at once"
            conditions > limits.txnOps * CONDITIONS_PER_CHANGE -> "$conditions conditions at once"
            total > MAX_TRANSACTION_BYTES -> "$total bytes at once"
            else -> null
        }
    }

    /** How many bytes [value] takes as JSON; an upper bound where text has to be escaped. */
    fun jsonBytes(value: Any?): Int = when (value) {
        null -> NULL_BYTES
        is Map<*, *> ->
            ENCLOSING_BYTES +
                value.entries.sumOf { (key, item) -> text(key.toString()) + COLON_BYTES + jsonBytes(item) + COMMA_BYTES }
        is Collection<*> -> ENCLOSING_BYTES + value.sumOf { jsonBytes(it) + COMMA_BYTES }
        is String -> text(value)
        is Boolean -> if (value) TRUE_BYTES else FALSE_BYTES
        else -> value.toString().length
    }

    private fun text(text: String): Int = ENCLOSING_BYTES + text.sumOf { characterBytes(it) }

    private fun characterBytes(char: Char): Int =
        if (char.code in PLAIN_CODES && char != '"' && char != '\\') PLAIN_BYTES else ESCAPED_BYTES
}
