package flaxfield.gangs

import flaxfield.Samples
import flaxfield.gangs.GangSamples.candidate
import flaxfield.gangs.GangSamples.gang
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class LargeGangReservationTest {
    @Test
    fun `machines are reserved for the largest overdue gang, in the zone that fits most of its tasks`() {
        // Without a reservation, smaller gangs take each machine that becomes free, and the largest gang starves.
        fun waitingGang(id: String, taskCount: Int, submittedMs: Long) =
            gang(taskCount, sameZone = true).let { it.copy(spec = it.spec.copy(id = id), submittedMs = submittedMs) }
        val waiting = listOf(
            waitingGang("job-1", 2, 10),
            waitingGang("job-2", 4, 20),
            waitingGang("job-3", 4, 15),
            waitingGang("job-4", 8, 99),
        )
        assertEquals("job-3", LargeGangReservation.selectGang(waiting, overdueBeforeMs = 50)?.id)
        // If the gang waits only for its team's quota, only later jobs of the same team yield that quota to it.
        val quotaBlocked = Samples.job(Samples.spec(id = "job-3"), atMs = 20)
        val rows = listOf("red" to 10L, "red" to 20L, "red" to 30L, "blue" to 30L)
        assertEquals(
            listOf(false, false, true, false),
            rows.map { (team, submittedMs) ->
                LargeGangReservation.yieldsQuotaTo(
                    Samples.job(Samples.spec("job-4", team = team), atMs = submittedMs),
                    quotaBlocked,
                )
            },
        )
        assertEquals(null, LargeGangReservation.selectGang(waiting, overdueBeforeMs = 5))
        assertEquals(
            null,
            LargeGangReservation.selectGang(listOf(waitingGang("job-5", 1, 0)), overdueBeforeMs = 50),
            "a gang of one task needs no reservation",
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
            LargeGangReservation.withoutReserved(gang(3, sameZone = true), candidates, candidates, nowMs = 0).map {
                it.machine.name
            },
        )
        assertEquals(
            listOf("b1", "b2", "c1"),
            LargeGangReservation.withoutReserved(gang(1), candidates, candidates, nowMs = 0).map {
                it.machine.name
            },
            "no more machines than the gang has tasks",
        )
    }
}
