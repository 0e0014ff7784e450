package flaxfield.gangs

import flaxfield.gangs.GangSamples.candidate
import flaxfield.gangs.GangSamples.gang
import flaxfield.jobs.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class InfeasibleShapesTest {
    @Test
    fun `gangs like an infeasible one are not tried again in the same cycle`() {
        val shapes = InfeasibleShapes()
        val candidates = { listOf(candidate("h1", 1), candidate("h2", 1)) }
        assertTrue(shapes.place(gang(3), null, candidates) is GangPlacementResult.Infeasible)
        for (n in 3..5) assertEquals(GangPlacementResult.Infeasible(0, n), shapes.place(gang(n), null, candidates))
        assertEquals(1, shapes.attempts)
        assertTrue(shapes.place(gang(2), null, candidates) is GangPlacementResult.Feasible)
        assertTrue(
            shapes.place(gang(4), PreemptionScope(Priority.STANDARD, false, "", false), {
                listOf(candidate("h1", 4))
            }) is GangPlacementResult.Feasible,
            "in another preemption scope",
        )
        val failed = gang(3).copy(failedMachines = listOf("h1"))
        assertTrue(
            InfeasibleShapes().apply {
                place(failed, null, candidates)
            }.place(gang(2), null, candidates) is GangPlacementResult.Feasible,
        )
    }
}
