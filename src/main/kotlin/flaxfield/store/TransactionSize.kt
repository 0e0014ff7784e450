package flaxfield.store

import flaxfield.BYTES_PER_KIB
import flaxfield.settings.StateLimits

/** Pure: whether the state service takes a transaction, counted as PROTOCOL-flaxfield.md counts: as JSON. */
object TransactionSize {
    private const val TXN_BYTES = 64 * BYTES_PER_KIB
    private const val KEY_BYTES = 200

    /** Conditions may be four times as many as changes. */
    private const val CONDITIONS = 4

    /** What the names and marks around one condition or change take. */
    private const val AROUND = 40

    /** Why [txn] would be refused at any time, or null. */
    fun fault(txn: Transaction, limits: StateLimits): String? {
        var total = txn.conditions.keys.sumOf { it.length + AROUND }
        for (c in txn.changes) {
            val size = if (c is Change.Put) json(c.value) else 0
            if (size > limits.valueKb * BYTES_PER_KIB) return "value of ${c.key} takes $size bytes"
            if (c.key.length > KEY_BYTES) return "key ${c.key} is too long"
            total += size + c.key.length + AROUND
        }
        return when {
            txn.changes.size > limits.txnOps -> "${txn.changes.size} changes at once"
            txn.conditions.size > limits.txnOps * CONDITIONS -> "${txn.conditions.size} conditions at once"
            total > TXN_BYTES -> "$total bytes at once"
            else -> null
        }
    }

    /** How long [value] is as JSON, without writing it. */
    fun json(value: Any?): Int = when (value) {
        null -> 4
        is Map<*, *> -> 2 + value.entries.sumOf { (k, v) -> text(k.toString()) + json(v) + 2 }
        is Collection<*> -> 2 + value.sumOf { json(it) + 1 }
        is String -> text(value)
        is Boolean -> if (value) 4 else 5
        else -> value.toString().length
    }

    /** Quotes included; characters outside ASCII and those that are escaped are counted at their longest. */
    private fun text(s: String): Int =
        2 + s.sumOf { c -> (if (c.code in PLAIN && c != '"' && c != '\\') 1 else ESCAPED).toInt() }

    private val PLAIN = 0x20..0x7e
    private const val ESCAPED = 6
}
