package flaxfield.gangs

import flaxfield.Samples
import flaxfield.gangs.GangSamples.candidate
import flaxfield.gangs.GangSamples.gang
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class LargeGangReservationTest {
    @Test
    fun `machines are reserved for the largest overdue gang, one at a time, in the zone where it lacks least`() {
        // Otherwise smaller gangs take each machine that comes free, and the largest never has enough at once.
        fun old(id: String, n: Int, ms: Long) = gang(n, sameZone = true).let { it.copy(spec = it.spec.copy(id = id), submittedMs = ms) }
        val waiting = listOf(old("job-1", 2, 10), old("job-2", 4, 20), old("job-3", 4, 15), old("job-4", 8, 99))
        assertEquals("job-3", LargeGangReservation.selectGang(waiting, overdueBeforeMs = 50)?.id)
        // Where the team's quota alone keeps it from starting, only later jobs of its team leave that to it.
        val quotaBound = Samples.job(Samples.spec(id = "job-3"), atMs = 20)
        val rows = listOf("red" to 10L, "red" to 20L, "red" to 30L, "blue" to 30L)
        assertEquals(
            listOf(false, false, true, false),
            rows.map { (team, ms) ->
                LargeGangReservation.leavesQuotaTo(
                    Samples.job(Samples.spec("job-4", team = team), atMs = ms),
                    quotaBound,
                )
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
}
