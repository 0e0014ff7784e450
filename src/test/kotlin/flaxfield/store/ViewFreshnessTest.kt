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
                read(10, 5uL)
                reached(4uL)
            },
            Row("a read that the view has reached", 10) {
                read(10, 5uL)
                reached(5uL)
            },
            Row("counts from the sending of the read, not from when it is reached", 10) {
                read(10, 5uL)
                reached(4uL)
                reached(9uL)
            },
            Row("the latest read that is reached counts, not the latest read", 20) {
                read(10, 5uL)
                read(20, 6uL)
                read(30, 8uL)
                reached(7uL)
            },
            Row("responses may arrive in any order", 30) {
                read(30, 6uL)
                reached(6uL)
                read(20, 5uL)
                reached(6uL)
            },
            Row("reads of a later revision do not count while the view does not advance", 10) {
                read(10, 5uL)
                reached(5uL)
                for (k in 1L..100L) read(10 + k, 9uL)
                reached(5uL)
            },
            Row("after a reset, nothing counts until a new read", null) {
                read(10, 5uL)
                reached(5uL)
                read(20, 6uL)
                reset()
                reached(9uL)
            },
        )
        for (row in table) assertEquals(row.expectedAsOfNs, ViewFreshness().apply(row.steps).asOfNs, row.case)
    }

    @Test
    fun `a view that was never complete counts as too old at any bound`() {
        val freshness = ViewFreshness()
        assertEquals(false, freshness.within(Long.MAX_VALUE, 0))
        freshness.read(10, 5uL)
        freshness.reached(5uL)
        assertEquals(listOf(true, false), listOf(freshness.within(5, 15), freshness.within(5, 16)))
    }
}
