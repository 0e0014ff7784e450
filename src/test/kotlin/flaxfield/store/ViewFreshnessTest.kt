package flaxfield.store

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * Workers' leases are renewed only while the view is fresh. Any response of the store once counted as a fresh view, so
 * that cancelled tasks ran for longer than `cancel_s`.
 */
class ViewFreshnessTest {
    private class Row(val case: String, val expectedAsOfNs: Long?, val steps: ViewFreshness.() -> Unit)

    @Test
    fun `freshness counts from when the latest read that the view has reached was sent`() {
        val table = listOf(
            Row("no view yet", null) { },
            Row("a read that the view has not reached", null) {
                recordRead(10, 5uL)
                onViewReached(4uL)
            },
            Row("a read that the view has reached", 10) {
                recordRead(10, 5uL)
                onViewReached(5uL)
            },
            Row("counts from the sending of the read, not from when it is reached", 10) {
                recordRead(10, 5uL)
                onViewReached(4uL)
                onViewReached(9uL)
            },
            Row("the latest read that is reached counts, not the latest read", 20) {
                recordRead(10, 5uL)
                recordRead(20, 6uL)
                recordRead(30, 8uL)
                onViewReached(7uL)
            },
            Row("responses may arrive in any order", 30) {
                recordRead(30, 6uL)
                onViewReached(6uL)
                recordRead(20, 5uL)
                onViewReached(6uL)
            },
            Row("reads of a later revision do not count while the view does not advance", 10) {
                recordRead(10, 5uL)
                onViewReached(5uL)
                for (k in 1L..100L) recordRead(10 + k, 9uL)
                onViewReached(5uL)
            },
            Row("after a reset, nothing counts until a new read", null) {
                recordRead(10, 5uL)
                onViewReached(5uL)
                recordRead(20, 6uL)
                reset()
                onViewReached(9uL)
            },
        )
        for (row in table) assertEquals(row.expectedAsOfNs, ViewFreshness().apply(row.steps).asOfNs, row.case)
    }

    @Test
    fun `a view that was never complete counts as too old at any bound`() {
        val freshness = ViewFreshness()
        assertEquals(false, freshness.isWithin(Long.MAX_VALUE, 0))
        freshness.recordRead(10, 5uL)
        freshness.onViewReached(5uL)
        assertEquals(listOf(true, false), listOf(freshness.isWithin(5, 15), freshness.isWithin(5, 16)))
    }
}
