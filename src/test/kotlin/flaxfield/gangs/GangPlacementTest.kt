package flaxfield.gangs

import flaxfield.Samples
import flaxfield.arrays.PlacementCandidate
import flaxfield.jobs.JobKind
import flaxfield.jobs.Priority
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class GangPlacementTest {
    private fun gang(taskCount: Int, sameZone: Boolean = false, spreadAcrossZones: Boolean = false) = Samples.job(
        Samples.spec(
            jobKind = JobKind.GANG,
            taskCount = taskCount,
            sameZone = sameZone,
            spreadAcrossZones = spreadAcrossZones,
            preemptible = false,
        ),
    )

    /** Room for [n] tasks. */
    private fun candidate(
        name: String,
        n: Int,
        zone: String = "a",
        preemptible: Boolean = false,
        images: Set<String> = emptySet(),
    ) = Samples.candidate(name, Resources(4.0, 1.0, 16.0) * n, zone, preemptible, images)

    private fun hosts(r: GangPlacementResult) = (r as? GangPlacementResult.Feasible)?.candidates?.values?.map {
        it.machine.name
    }

    @Test
    fun `the gate holds a gang until all its members are listed`() {
        assertFalse(GangPlacement.hasAllMembers(gang(3), listed = 2))
        assertTrue(GangPlacement.hasAllMembers(gang(3), listed = 3))
    }

    @Test
    fun `all members are seated or none`() {
        val table = listOf<Triple<List<PlacementCandidate>, Int, Boolean>>(
            Triple(listOf(candidate("h1", 2), candidate("h2", 2)), 4, true),
            Triple(listOf(candidate("h1", 2), candidate("h2", 1)), 4, false),
            Triple(emptyList(), 1, false),
            Triple(listOf(candidate("h1", 4, preemptible = true)), 4, false),
        )
        for ((candidates, taskCount, full) in table) {
            assertEquals(
                full,
                GangPlacement.place(gang(taskCount), candidates) is GangPlacementResult.Feasible,
                "$taskCount in ${candidates.map {
                    it.machine
                }}",
            )
        }
    }

    @Test
    fun `a short round stops early and gives back all assumed room`() {
        val candidates = listOf(candidate("h1", 2), candidate("h2", 1))
        val before = candidates.map { it.free }
        assertEquals(GangPlacementResult.Infeasible(assumed = 3, left = 6), GangPlacement.place(gang(10), candidates))
        assertEquals(before, candidates.map { it.free })
    }

    @Test
    fun `a full round keeps its room for the rounds after it`() {
        val candidates = listOf(candidate("h1", 2))
        assertTrue(GangPlacement.place(gang(2), candidates) is GangPlacementResult.Feasible)
        assertTrue(GangPlacement.place(gang(1), candidates) is GangPlacementResult.Infeasible)
    }

    @Test
    fun `zones are kept to`() {
        val split = { listOf(candidate("a1", 2, "a"), candidate("b1", 2, "b")) }
        assertTrue(GangPlacement.place(gang(3, sameZone = true), split()) is GangPlacementResult.Infeasible)
        assertEquals(
            listOf("b1", "b1"),
            hosts(
                GangPlacement.place(gang(2, sameZone = true), listOf(candidate("a1", 1, "a"), candidate("b1", 2, "b"))),
            ),
        )
        assertTrue(
            GangPlacement.place(
                gang(4, spreadAcrossZones = true),
                listOf(candidate("a1", 4, "a")),
            ) is GangPlacementResult.Infeasible,
        )
        assertEquals(
            listOf("a1", "a1", "b1", "b1"),
            hosts(GangPlacement.place(gang(4, spreadAcrossZones = true), split())),
        )
    }

    @Test
    fun `a machine with the image comes first, one that failed the job never`() {
        val candidates = { listOf(candidate("h1", 1), candidate("h2", 1, images = setOf("img-1"))) }
        assertEquals(listOf("h2"), hosts(GangPlacement.place(gang(1), candidates())))
        assertEquals(
            listOf("h1"),
            hosts(GangPlacement.place(gang(1).copy(failedMachines = listOf("h2")), candidates())),
        )
    }

    @Test
    fun `gangs like one that was short are not tried again in the same run`() {
        // Each free machine woke a hundred parked gangs, and their rounds took the leader's whole share.
        val known = InfeasibleShapes()
        val candidates = { listOf(candidate("h1", 1), candidate("h2", 1)) }
        assertTrue(known.place(gang(3), null, candidates) is GangPlacementResult.Infeasible)
        for (n in 3..5) assertEquals(GangPlacementResult.Infeasible(0, n), known.place(gang(n), null, candidates))
        assertEquals(1, known.attempts)
        assertTrue(known.place(gang(2), null, candidates) is GangPlacementResult.Feasible)
        assertTrue(
            known.place(gang(4), PreemptionScope(Priority.STANDARD, false, "", false), {
                listOf(candidate("h1", 4))
            }) is GangPlacementResult.Feasible,
            "with other rights",
        )
        val failed = gang(3).copy(failedMachines = listOf("h1"))
        assertTrue(
            InfeasibleShapes().apply {
                place(failed, null, candidates)
            }.place(gang(2), null, candidates) is GangPlacementResult.Feasible,
        )
    }

    @Test
    fun `room is gathered for the largest late gang, one at a time, in the zone where it lacks least`() {
        // Smaller gangs took each machine as it came free, and the largest never had enough at once.
        fun old(id: String, n: Int, ms: Long) =
            gang(n, sameZone = true).let { it.copy(spec = it.spec.copy(id = id), submittedMs = ms) }
        val waiting = listOf(old("job-1", 2, 10), old("job-2", 4, 20), old("job-3", 4, 15), old("job-4", 8, 99))
        assertEquals("job-3", LargeGangReservation.selectGang(waiting, overdueBeforeMs = 50)?.id)
        // Kept from starting by its team's limit alone: only what its team submitted later makes way for it.
        val atLimit = Samples.job(Samples.spec(id = "job-3"), atMs = 20)
        val rows = listOf("red" to 10L, "red" to 20L, "red" to 30L, "blue" to 30L)
        assertEquals(
            listOf(false, false, true, false),
            rows.map { (team, ms) ->
                LargeGangReservation.leavesQuotaTo(Samples.job(Samples.spec("job-4", team = team), atMs = ms), atLimit)
            },
        )
        assertEquals(null, LargeGangReservation.selectGang(waiting, overdueBeforeMs = 5))
        assertEquals(
            null,
            LargeGangReservation.selectGang(listOf(old("job-5", 1, 0)), overdueBeforeMs = 50),
            "a single task needs none",
        )
        val candidates =
            listOf(
                candidate("a1", 1),
                candidate("b1", 1, "b"),
                candidate("b2", 1, "b"),
                candidate("c1", 1, "c", preemptible = true),
            )
        assertEquals(
            listOf("a1", "c1"),
            LargeGangReservation.withoutReserved(gang(3, sameZone = true), candidates, candidates).map {
                it.machine.name
            },
        )
        assertEquals(
            listOf("b1", "b2", "c1"),
            LargeGangReservation.withoutReserved(gang(1), candidates, candidates).map {
                it.machine.name
            },
            "no more than it has tasks",
        )
    }

    @Test
    fun `a gang waits for a warm machine only where that is its best chance`() {
        // A start with a fetch of 80 s missed an aim of 60 s while machines with the image were about to be free.
        val aims = listOf(90.0, 60.0)
        val table = listOf(
            ImageLocalityDelay.shouldDelay(
                ageS = 1.0,
                fetchS = 80.0,
                objectivesS = aims,
                busyMachines = 4,
                competingTasks = 2,
            ) to
                true,
            ImageLocalityDelay.shouldDelay(
                ageS = 1.0,
                fetchS = 80.0,
                objectivesS = aims,
                busyMachines = 3,
                competingTasks = 2,
            ) to
                false,
            ImageLocalityDelay.shouldDelay(
                ageS = 1.0,
                fetchS = 30.0,
                objectivesS = aims,
                busyMachines = 9,
                competingTasks = 1,
            ) to
                false,
            ImageLocalityDelay.shouldDelay(
                ageS = 55.0,
                fetchS = 80.0,
                objectivesS = aims,
                busyMachines = 9,
                competingTasks = 1,
            ) to
                false,
            ImageLocalityDelay.shouldDelay(
                ageS = 1.0,
                fetchS = 80.0,
                objectivesS = emptyList(),
                busyMachines = 9,
                competingTasks = 1,
            ) to
                false,
        )
        for ((got, want) in table) assertEquals(want, got)
    }
}
