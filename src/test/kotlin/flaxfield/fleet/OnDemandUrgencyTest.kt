package flaxfield.fleet

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class OnDemandUrgencyTest {
    @Test
    fun `reports a start objective as at risk when a machine rented now would only just meet it`() {
        val table = listOf(
            Triple(1.0, listOf(80.0, 200.0), true) to "provisioning takes 57 s, and up to 86 s with the margin",
            Triple(1.0, listOf(120.0), false) to "the objective is far off",
            Triple(30.0, listOf(80.0, 200.0), false) to "the first objective cannot be met, the second is far off",
            Triple(120.0, listOf(80.0, 200.0), true) to "the second objective is close",
            Triple(201.0, listOf(80.0, 200.0), true) to "both objectives are missed: the job must not starve",
            Triple(99.0, emptyList<Double>(), false) to "no start objective",
        )
        for ((row, description) in table) {
            val atRisk = OnDemandUrgency.isStartObjectiveAtRisk(row.first, 57.0, 100.0, row.second)
            assertEquals(row.third, atRisk, description)
        }
        // No on-demand machines are needed if the queue for spot machines is fast enough.
        assertEquals(
            false,
            OnDemandUrgency.isStartObjectiveAtRisk(1.0, 57.0, 20.0, listOf(80.0, 200.0)),
            "the queue ends well within the objective",
        )
        // Nor are they needed if a slower queue still ends within the objective.
        assertEquals(
            false,
            OnDemandUrgency.isStartObjectiveAtRisk(1.0, 57.0, 60.0, listOf(80.0, 200.0)),
            "the queue ends within the objective",
        )
    }

    @Test
    fun `gives jobs without objectives on-demand machines only when they risk never starting or finishing`() {
        val table = listOf(
            Triple(119.0, false, false),
            Triple(121.0, false, true),
            Triple(121.0, true, false),
            Triple(479.0, true, false),
            Triple(481.0, true, true),
        )
        for ((ageS, hasStarted, expected) in table) {
            assertEquals(
                expected,
                OnDemandUrgency.isOverdueWithoutObjective(ageS, hasStarted),
                "age $ageS s, hasStarted $hasStarted",
            )
        }
    }
}
