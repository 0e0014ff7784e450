package flaxfield.store

import flaxfield.settings.StateLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Transactions that exceed the limits of the store must be detected before they are sent. */
class TransactionSizeTest {
    @Test
    fun `reports a transaction that exceeds a limit of the store`() {
        val limits = StateLimits(100.0, 20.0, 1.0, 4)
        fun put(key: String, bytes: Int) = Change.Put(key, mapOf("v" to "x".repeat(bytes - 9)))
        val table = listOf(
            Transaction(mapOf("a" to 1uL), listOf(put("a", 1024))) to true,
            Transaction(mapOf("a" to 1uL), listOf(put("a", 1025))) to false,
            Transaction(emptyMap(), List(4) { Change.Delete("a$it") }) to true,
            Transaction(emptyMap(), List(5) { Change.Delete("a$it") }) to false,
            Transaction((0 until 16).associate { "a$it" to 1uL }, emptyList()) to true,
            Transaction((0 until 17).associate { "a$it" to 1uL }, emptyList()) to false,
            Transaction(mapOf("a".repeat(201) to 1uL), listOf(Change.Delete("a".repeat(201)))) to false,
        )
        for ((txn, fits) in table) {
            assertEquals(
                fits,
                TransactionSize.violation(txn, limits) == null,
                TransactionSize.violation(txn, limits),
            )
        }
        val wide = StateLimits(100.0, 20.0, 32.0, 24)
        assertEquals(
            true,
            TransactionSize.violation(
                Transaction(emptyMap(), listOf(put("a", 32_000), put("b", 32_000))),
                wide,
            ) == null,
        )
        assertEquals(
            false,
            TransactionSize.violation(Transaction(emptyMap(), List(3) { put("a$it", 30_000) }), wide) == null,
        )
    }

    @Test
    fun `a size is that of the value as JSON`() {
        val value = mapOf("a" to listOf(1, 2.5, true, null), "text" to "plain", "m" to mapOf("k" to ULong.MAX_VALUE))
        val written = """{"a":[1,2.5,true,null],"text":"plain","m":{"k":18446744073709551615}}"""
        assertTrue(
            TransactionSize.jsonBytes(value) in written.length..written.length + 8,
            "${TransactionSize.jsonBytes(value)} ${written.length}",
        )
        assertEquals(2 + 1 + 6 + 6, TransactionSize.jsonBytes("a\"\u00e9"), "an escape counts as six bytes")
    }
}
