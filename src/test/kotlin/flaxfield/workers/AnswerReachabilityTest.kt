package flaxfield.workers

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** A machine whose reports arrive while answers do not reach it looked alive, and kept what it was given for ever. */
class AnswerReachabilityTest {
    private val lease = 12e9
    private val launch = Order.Launch("job-1", 0, 1uL)

    private fun report(session: Int = 1, epoch: Int = 7, has: Boolean = false) = Report(
        "h", "10.0.0.1:1", "big", "a", false, session.toULong(), 1uL, epoch.toULong(), null,
        if (has) listOf(ReportedTask("job-1", 0, 1uL, TaskState.PULLING, null)) else emptyList(),
    )

    /**
     * [reports] arrive every 5 s; each is answered with the launch. Returns what speaks against the worker at the end.
     */
    private fun missed(reports: List<Report>, everyS: Double = 5.0): Int {
        var h = AnswerReachability()
        for ((k, r) in reports.withIndex()) {
            val now = ((k + 1) * everyS * 1e9).toLong()
            h = h.reported(r, 7uL, now, lease).answered(r, 7uL, listOf(launch), now)
        }
        return h.missed
    }

    @Test
    fun `only a row of answers without any effect speaks against a worker`() {
        val table = listOf(
            Triple("the launch shows", listOf(report(), report(has = true), report(has = true)), 0),
            Triple("one answer was lost", listOf(report(), report(), report(has = true)), 0),
            Triple("no launch shows", List(3) { report() }, 2),
            Triple("the epoch does not rise", List(5) { report(epoch = 6) }, 4),
            Triple(
                "its lease runs out under our answers",
                listOf(report(), report(), report(session = 2), report(session = 2)),
                4,
            ),
            Triple("it outlives a lease all the same", List(5) { report() }, 0),
        )
        for ((what, reports, want) in table) assertEquals(want, missed(reports), what)
        // A worker that gets no answers goes round all nodes: its owner hears of it once in several leases of its own.
        // One task was placed on such a machine 59 times, as each rising session proved that it had left.
        assertEquals(4, missed(listOf(report(), report(session = 3), report(session = 5)), everyS = 30.0))
        // It was cut off, and hears us again: its session lasts.
        assertEquals(0, missed(listOf(report(), report(session = 2)) + List(3) { report(session = 2) }, everyS = 8.0))
        assertEquals(0, missed(listOf(report(), report(session = 2)), everyS = 60.0))
        assertEquals(listOf(false, true), listOf(3, 4).map { AnswerReachability(missed = it).deaf })
    }

    @Test
    fun `a new term starts anew`() {
        val h = AnswerReachability().answered(report(), 7uL, listOf(launch), 1).copy(missed = 3)
        assertEquals(0, h.reported(report(epoch = 7), 8uL, 2, lease).missed)
    }
}
