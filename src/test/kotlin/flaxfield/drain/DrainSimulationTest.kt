package flaxfield.drain

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Overlapping drains under shared budgets, in a cluster of stand-ins; every step is recounted by checkers of their own. */
class DrainSimulationTest {
    private val half = Selector(emptySet(), "big", null, null, 50.0)
    private val zoneA = Selector(emptySet(), null, "a", null, null)

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6])
    fun `two overlapping drains share one budget and no team ever lacks more than it`(seed: Int) {
        val day = DrainDay(DayPlan(seed))
        day.at(40.0) { day.order(DrainOrder.Start("d-1", half), 0) }
        day.at(45.0) { day.order(DrainOrder.Start("d-2", zoneA), 1) }
        day.run(400.0)
        assertEquals(emptyList<String>(), day.broken())
        assertEquals(emptyList<String>(), day.workers.broken.take(5))
        assertEquals(listOf("done", "done"), listOf(day.phase("d-1"), day.phase("d-2")), day.snapshot().drains.toString())
        assertEquals(emptyList<String>(), day.unfinished())
        assertTrue(day.records.steps.size >= 10, "${day.records.steps}")
    }
}
