package flaxfield.store

import flaxfield.settings.StateLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The writes that each cause may take from the rate limits, and the reserve that it must leave. */
class StoreBudgetTest {
    @Test
    fun `the budget reserves writes for more important causes`() {
        val budget = StoreBudget(StateLimits(100.0, 20.0, 16.0, 24), controllers = 2)
        assertTrue(budget.hasAmpleWrites(1))
        var summaries = 0
        while (budget.take(WriteCause.ROOM, 1, 1)) summaries++
        var gangWrites = 0
        while (budget.take(WriteCause.GANG, 1, 1)) gangWrites++
        var submissions = 0
        while (budget.take(WriteCause.SUBMIT, 1, 1)) submissions++
        assertTrue(
            summaries in 6..8 && gangWrites in 2..3 && submissions in 3..5,
            "$summaries $gangWrites $submissions",
        )
        assertFalse(budget.hasAmpleWrites(1))
        assertTrue(budget.take(WriteCause.CANCEL, 1, 1))
        assertTrue(budget.take(WriteCause.LEASE, 0, 1))
        assertFalse(budget.take(WriteCause.ROOM, 1, 100_000_000))
        assertTrue(budget.take(WriteCause.ROOM, 1, 1_000_000_000))
    }

    @Test
    fun `checking the budget takes nothing and predicts the result of taking`() {
        // Without the check, placements were built and rejected in every round of decisions.
        val budget = StoreBudget(StateLimits(100.0, 20.0, 16.0, 24), controllers = 2)
        val requests = listOf(
            WriteCause.ARRAY to 2,
            WriteCause.TRICKLE to 1,
            WriteCause.FINISH to 1,
            WriteCause.GANG to 8,
            WriteCause.SUBMIT to 1,
            WriteCause.ROOM to 3,
        )
        var rejected = 0
        for (step in 1..60L) {
            val now = step * 40_000_000
            for ((cause, changes) in requests) {
                val allowed = budget.allows(cause, changes, now)
                assertEquals(allowed, budget.allows(cause, changes, now), "second check: $cause")
                assertEquals(allowed, budget.take(cause, changes, now), "$cause $changes at step $step")
                if (!allowed) rejected++
            }
        }
        assertTrue(rejected in 1 until 60 * requests.size, "$rejected rejected")
    }
}
