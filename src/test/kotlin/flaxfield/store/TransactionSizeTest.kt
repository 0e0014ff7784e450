package flaxfield.store

import flaxfield.settings.StateLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Transactions that the store refuses at any time are found before they are sent. */
class TransactionSizeTest {
    @Test
    fun `a transaction that the state service never takes is found before it is sent`() {
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
                TransactionSize.fault(txn, limits) == null,
                TransactionSize.fault(txn, limits),
            )
        }
        val wide = StateLimits(100.0, 20.0, 32.0, 24)
        assertEquals(
            true,
            TransactionSize.fault(Transaction(emptyMap(), listOf(put("a", 32_000), put("b", 32_000))), wide) == null,
        )
        assertEquals(
            false,
            TransactionSize.fault(Transaction(emptyMap(), List(3) { put("a$it", 30_000) }), wide) == null,
        )
    }

    @Test
    fun `a size is counted as the JSON that it would be`() {
        val o = mapOf("a" to listOf(1, 2.5, true, null), "text" to "plain", "m" to mapOf("k" to ULong.MAX_VALUE))
        val written = """{"a":[1,2.5,true,null],"text":"plain","m":{"k":18446744073709551615}}"""
        assertTrue(
            TransactionSize.jsonBytes(o) in written.length..written.length + 8,
            "${TransactionSize.jsonBytes(o)} ${written.length}",
        )
        assertEquals(2 + 1 + 6 + 6, TransactionSize.jsonBytes("a\"\u00e9"), "escapes count at their longest")
    }
}
