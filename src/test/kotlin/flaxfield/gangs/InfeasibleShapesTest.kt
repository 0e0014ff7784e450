package flaxfield.gangs

import flaxfield.gangs.GangSamples.candidate
import flaxfield.gangs.GangSamples.gang
import flaxfield.jobs.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class InfeasibleShapesTest {
    @Test
    fun `gangs of an infeasible shape and size are not tried again in the same cycle`() {
        val shapes = InfeasibleShapes(nowMs = 0)
        val candidates = { listOf(candidate("h1", 1), candidate("h2", 1)) }
        assertTrue(shapes.place(gang(3), null, candidates) is GangPlacementResult.Infeasible)
        for (taskCount in 3..5) {
            assertEquals(
                GangPlacementResult.Infeasible(0, taskCount),
                shapes.place(gang(taskCount), null, candidates),
            )
        }
        assertEquals(1, shapes.attempts)
        assertTrue(shapes.place(gang(2), null, candidates) is GangPlacementResult.Feasible)
        assertTrue(
            shapes.place(gang(4), PreemptionScope(Priority.STANDARD, false, "", false), {
                listOf(candidate("h1", 4))
            }) is GangPlacementResult.Feasible,
            "a result applies to one preemption scope only",
        )
        // An attempt that skips the machines its job failed on is not remembered for other gangs.
        val gangWithFailedMachine = gang(3).copy(failedMachines = listOf("h1"))
        assertTrue(
            InfeasibleShapes(nowMs = 0).apply {
                place(gangWithFailedMachine, null, candidates)
            }.place(gang(2), null, candidates) is GangPlacementResult.Feasible,
        )
    }
}
