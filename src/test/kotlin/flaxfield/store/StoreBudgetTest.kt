package flaxfield.store

import flaxfield.settings.StateLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What each cause may take of the rate limits, and what it must leave to others. */
class StoreBudgetTest {
    @Test
    fun `the budget keeps room for what matters more`() {
        val budget = StoreBudget(StateLimits(100.0, 20.0, 16.0, 24), controllers = 2)
        assertTrue(budget.hasAmpleWrites(1))
        var summaries = 0
        while (budget.take(WriteCause.ROOM, 1, 1)) summaries++
        var commits = 0
        while (budget.take(WriteCause.GANG, 1, 1)) commits++
        var submits = 0
        while (budget.take(WriteCause.SUBMIT, 1, 1)) submits++
        assertTrue(summaries in 6..8 && commits in 2..3 && submits in 3..5, "$summaries $commits $submits")
        assertFalse(budget.hasAmpleWrites(1))
        assertTrue(budget.take(WriteCause.CANCEL, 1, 1))
        assertTrue(budget.take(WriteCause.LEASE, 0, 1))
        assertFalse(budget.take(WriteCause.ROOM, 1, 100_000_000))
        assertTrue(budget.take(WriteCause.ROOM, 1, 1_000_000_000))
    }

    @Test
    fun `asking the budget costs nothing and tells what taking would get`() {
        // Placements were built and refused at every turn: whoever writes asks before it builds.
        val budget = StoreBudget(StateLimits(100.0, 20.0, 16.0, 24), controllers = 2)
        val asked = listOf(
            WriteCause.ARRAY to 2,
            WriteCause.TRICKLE to 1,
            WriteCause.FINISH to 1,
            WriteCause.GANG to 8,
            WriteCause.SUBMIT to 1,
            WriteCause.ROOM to 3,
        )
        var refused = 0
        for (step in 1..60L) {
            val now = step * 40_000_000
            for ((cause, puts) in asked) {
                val may = budget.may(cause, puts, now)
                assertEquals(may, budget.may(cause, puts, now), "asked twice: $cause")
                assertEquals(may, budget.take(cause, puts, now), "$cause $puts at step $step")
                if (!may) refused++
            }
        }
        assertTrue(refused in 1 until 60 * asked.size, "$refused refused")
    }
}
