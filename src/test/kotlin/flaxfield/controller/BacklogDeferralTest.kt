package flaxfield.controller

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * Heartbeats renew leases: a long round of planning waits for them, but not for ever.
 */
class BacklogDeferralTest {
    private class Step(val atNs: Long, val waiting: Int, val runs: Boolean)

    private val many = BacklogDeferral.MANY_WAITING

    @Test
    fun `a duty gives way to many reports, and not for ever`() {
        val steps = listOf(
            Step(0, waiting = 0, runs = true),
            Step(10, waiting = many - 1, runs = true),
            Step(20, waiting = many, runs = false),
            Step(119, waiting = 10 * many, runs = false),
            Step(120, waiting = many, runs = true),
            Step(130, waiting = many, runs = false),
            // Fewer wait: it runs at once, and the next time it is due counts anew.
            Step(140, waiting = 0, runs = true),
            Step(235, waiting = many, runs = false),
            Step(334, waiting = many, runs = false),
            Step(335, waiting = many, runs = true),
        )
        val deferral = BacklogDeferral(maxDelayNs = 100)
        for (step in steps) assertEquals(step.runs, deferral.mayRun(step.atNs, step.waiting), "at ${step.atNs}")
    }
}
