package flaxfield.fleet

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class OnDemandUrgencyTest {
    @Test
    fun `an objective at start is at risk when a machine rented now would only just meet it`() {
        val table = listOf(
            Triple(1.0, listOf(80.0, 200.0), true) to "a boot and a fetch take 57 s, and often 86",
            Triple(1.0, listOf(120.0), false) to "there is time",
            Triple(30.0, listOf(80.0, 200.0), false) to "the first aim is lost, the second is far",
            Triple(120.0, listOf(80.0, 200.0), true) to "the second is near",
            Triple(201.0, listOf(80.0, 200.0), true) to "both are lost: it must not wait for ever",
            Triple(99.0, emptyList<Double>(), false) to "no aim at start",
        )
        for ((row, what) in table) {
            val got = OnDemandUrgency.isStartObjectiveAtRisk(row.first, 57.0, 100.0, row.second)
            assertEquals(row.third, got, what)
        }
        // A queue for spot machines that is fast enough needs no on-demand machines.
        assertEquals(
            false,
            OnDemandUrgency.isStartObjectiveAtRisk(1.0, 57.0, 20.0, listOf(80.0, 200.0)),
            "tasks end fast enough",
        )
        // Nor does one that ends within the objective, however close to it.
        assertEquals(
            false,
            OnDemandUrgency.isStartObjectiveAtRisk(1.0, 57.0, 60.0, listOf(80.0, 200.0)),
            "the queue is through in time",
        )
    }

    @Test
    fun `work without an objective gets on-demand machines only when it may never begin or finish`() {
        val table = listOf(
            Triple(119.0, false, false),
            Triple(121.0, false, true),
            Triple(121.0, true, false),
            Triple(479.0, true, false),
            Triple(481.0, true, true),
        )
        for ((age, begun, want) in table) {
            assertEquals(want, OnDemandUrgency.isOverdueWithoutObjective(age, begun), "$age s, begun $begun")
        }
    }
}
