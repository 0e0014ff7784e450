package flaxfield.gangs

import flaxfield.arrays.PlacementCandidate
import flaxfield.gangs.GangSamples.candidate
import flaxfield.gangs.GangSamples.gang
import flaxfield.jobs.Job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class GangPlacementTest {
    private fun machineNames(result: GangPlacementResult) = (result as? GangPlacementResult.Feasible)?.candidates?.values?.map {
        it.machine.name
    }

    @Test
    fun `a gang has all its members only once each of them is listed`() {
        assertFalse(GangPlacement.hasAllMembers(gang(3), listed = 2))
        assertTrue(GangPlacement.hasAllMembers(gang(3), listed = 3))
    }

    @Test
    fun `a gang is placed only if all its members fit`() {
        val rows = listOf<Triple<List<PlacementCandidate>, Int, Boolean>>(
            Triple(listOf(candidate("h1", 2), candidate("h2", 2)), 4, true),
            Triple(listOf(candidate("h1", 2), candidate("h2", 1)), 4, false),
            Triple(emptyList(), 1, false),
            Triple(listOf(candidate("h1", 4, preemptible = true)), 4, false),
        )
        for ((candidates, taskCount, isFeasible) in rows) {
            assertEquals(
                isFeasible,
                GangPlacement.place(gang(taskCount), candidates, nowMs = 0) is GangPlacementResult.Feasible,
                "$taskCount tasks on ${candidates.map {
                    it.machine
                }}",
            )
        }
    }

    @Test
    fun `an infeasible attempt stops early and returns all assumed resources`() {
        val candidates = listOf(candidate("h1", 2), candidate("h2", 1))
        val before = candidates.map { it.free }
        assertEquals(GangPlacementResult.Infeasible(assumed = 3, untriedTasks = 6), GangPlacement.place(gang(10), candidates, nowMs = 0))
        assertEquals(before, candidates.map { it.free })
    }

    @Test
    fun `resources assumed by a feasible attempt are not available to later attempts`() {
        val candidates = listOf(candidate("h1", 2))
        assertTrue(GangPlacement.place(gang(2), candidates, nowMs = 0) is GangPlacementResult.Feasible)
        assertTrue(GangPlacement.place(gang(1), candidates, nowMs = 0) is GangPlacementResult.Infeasible)
    }

    @Test
    fun `zone constraints hold for the whole gang`() {
        val bothZones = { listOf(candidate("a1", 2, "a"), candidate("b1", 2, "b")) }
        assertTrue(GangPlacement.place(gang(3, sameZone = true), bothZones(), nowMs = 0) is GangPlacementResult.Infeasible)
        assertEquals(
            listOf("b1", "b1"),
            machineNames(
                GangPlacement.place(gang(2, sameZone = true), listOf(candidate("a1", 1, "a"), candidate("b1", 2, "b")), nowMs = 0),
            ),
        )
        assertTrue(
            GangPlacement.place(
                gang(4, spreadAcrossZones = true),
                listOf(candidate("a1", 4, "a")),
                nowMs = 0,
            ) is GangPlacementResult.Infeasible,
        )
        assertEquals(
            listOf("a1", "a1", "b1", "b1"),
            machineNames(GangPlacement.place(gang(4, spreadAcrossZones = true), bothZones(), nowMs = 0)),
        )
    }

    @Test
    fun `a machine with the image is preferred and one that failed the job is excluded for a while`() {
        val candidates = { listOf(candidate("h1", 1), candidate("h2", 1, images = setOf("img-1"))) }
        val failedGang = gang(1).copy(failedMachines = listOf("h2"), failedAtMs = 1)
        assertEquals(listOf("h2"), machineNames(GangPlacement.place(gang(1), candidates(), nowMs = 0)))
        assertEquals(
            listOf("h1"),
            machineNames(GangPlacement.place(failedGang, candidates(), nowMs = 1)),
        )
        assertEquals(
            listOf("h2"),
            machineNames(GangPlacement.place(failedGang, candidates(), nowMs = 1 + Job.MACHINE_EXCLUSION_MS)),
        )
    }
}
