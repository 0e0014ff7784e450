package flaxfield.store

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Workers' leases rest on it: contact was once taken for knowledge, and cancelled tasks outlived `cancel_s`. */
class ViewFreshnessTest {
    private class Row(val what: String, val want: Long?, val act: ViewFreshness.() -> Unit)

    @Test
    fun `knowledge is as old as the latest read that the view has reached was sent`() {
        val table = listOf(
            Row("no view yet", null) { },
            Row("a read that the view has not reached", null) {
                read(10, 5uL)
                reached(4uL)
            },
            Row("reached", 10) {
                read(10, 5uL)
                reached(5uL)
            },
            Row("when it was sent, not when it was reached", 10) {
                read(10, 5uL)
                reached(4uL)
                reached(9uL)
            },
            Row("the latest that counts, not the latest", 20) {
                read(10, 5uL)
                read(20, 6uL)
                read(30, 8uL)
                reached(7uL)
            },
            Row("answers may come in any order", 30) {
                read(30, 6uL)
                reached(6uL)
                read(20, 5uL)
                reached(6uL)
            },
            Row("a view that stands still knows no more, however often it is reached", 10) {
                read(10, 5uL)
                reached(5uL)
                for (k in 1L..100L) read(10 + k, 9uL)
                reached(5uL)
            },
            Row("read anew: nothing is known until it is there", null) {
                read(10, 5uL)
                reached(5uL)
                read(20, 6uL)
                forget()
                reached(9uL)
            },
        )
        for (row in table) assertEquals(row.want, ViewFreshness().apply(row.act).sinceNs, row.what)
    }

    @Test
    fun `a process that never had a view keeps nothing alive`() {
        val k = ViewFreshness()
        assertEquals(false, k.within(Long.MAX_VALUE, 0))
        k.read(10, 5uL)
        k.reached(5uL)
        assertEquals(listOf(true, false), listOf(k.within(5, 15), k.within(5, 16)))
    }
}
