package flaxfield.controller

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Heartbeats renew leases, so a long planning round waits for queued heartbeats, but only for a bounded time. */
class BacklogDeferralTest {
    private class Step(val atNs: Long, val waiting: Int, val runs: Boolean)

    private val backlog = BacklogDeferral.BACKLOG_HEARTBEATS

    @Test
    fun `a backlog of heartbeats defers a due duty until the maximum delay has passed`() {
        val steps = listOf(
            Step(0, waiting = 0, runs = true),
            Step(10, waiting = backlog - 1, runs = true),
            Step(20, waiting = backlog, runs = false),
            Step(119, waiting = 10 * backlog, runs = false),
            Step(120, waiting = backlog, runs = true),
            Step(130, waiting = backlog, runs = false),
            // The queue is empty again: the duty runs at once, and the delay starts again at the next due time.
            Step(140, waiting = 0, runs = true),
            Step(235, waiting = backlog, runs = false),
            Step(334, waiting = backlog, runs = false),
            Step(335, waiting = backlog, runs = true),
        )
        val deferral = BacklogDeferral(maxDelayNs = 100)
        for (step in steps) assertEquals(step.runs, deferral.mayRun(step.atNs, step.waiting), "at ${step.atNs}")
    }
}
