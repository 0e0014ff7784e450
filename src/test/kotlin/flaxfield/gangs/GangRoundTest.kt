package flaxfield.gangs

import flaxfield.Samples
import flaxfield.arrays.Seat
import flaxfield.jobs.Room
import flaxfield.jobs.Shape
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class GangRoundTest {
    private fun gang(taskCount: Int, sameZone: Boolean = false, scatter: Boolean = false) = Samples.job(
        Samples.spec(
            shape = Shape.GANG,
            taskCount = taskCount,
            sameZone = sameZone,
            scatter = scatter,
            preemptible = false,
        ),
    )

    /** Room for [n] tasks. */
    private fun seat(
        name: String,
        n: Int,
        zone: String = "a",
        preemptible: Boolean = false,
        images: Set<String> = emptySet(),
    ) = Samples.seat(name, Room(4.0, 1.0, 16.0) * n, zone, preemptible, images)

    private fun hosts(r: Round) = (r as? Round.Full)?.seats?.values?.map { it.machine.name }

    @Test
    fun `the gate holds a gang until all its members are listed`() {
        assertFalse(GangRound.gate(gang(3), listed = 2))
        assertTrue(GangRound.gate(gang(3), listed = 3))
    }

    @Test
    fun `all members are seated or none`() {
        val table = listOf<Triple<List<Seat>, Int, Boolean>>(
            Triple(listOf(seat("h1", 2), seat("h2", 2)), 4, true),
            Triple(listOf(seat("h1", 2), seat("h2", 1)), 4, false),
            Triple(emptyList(), 1, false),
            Triple(listOf(seat("h1", 4, preemptible = true)), 4, false),
        )
        for ((seats, taskCount, full) in table) {
            assertEquals(
                full,
                GangRound.run(gang(taskCount), seats) is Round.Full,
                "$taskCount in ${seats.map {
                    it.machine
                }}",
            )
        }
    }

    @Test
    fun `a short round stops early and gives back all assumed room`() {
        val seats = listOf(seat("h1", 2), seat("h2", 1))
        val before = seats.map { it.free }
        assertEquals(Round.Short(assumed = 3, left = 6), GangRound.run(gang(10), seats))
        assertEquals(before, seats.map { it.free })
    }

    @Test
    fun `a full round keeps its room for the rounds after it`() {
        val seats = listOf(seat("h1", 2))
        assertTrue(GangRound.run(gang(2), seats) is Round.Full)
        assertTrue(GangRound.run(gang(1), seats) is Round.Short)
    }

    @Test
    fun `zones are kept to`() {
        val split = { listOf(seat("a1", 2, "a"), seat("b1", 2, "b")) }
        assertTrue(GangRound.run(gang(3, sameZone = true), split()) is Round.Short)
        assertEquals(
            listOf("b1", "b1"),
            hosts(GangRound.run(gang(2, sameZone = true), listOf(seat("a1", 1, "a"), seat("b1", 2, "b")))),
        )
        assertTrue(GangRound.run(gang(4, scatter = true), listOf(seat("a1", 4, "a"))) is Round.Short)
        assertEquals(listOf("a1", "a1", "b1", "b1"), hosts(GangRound.run(gang(4, scatter = true), split())))
    }

    @Test
    fun `a machine with the image comes first, one that failed the job never`() {
        val seats = { listOf(seat("h1", 1), seat("h2", 1, images = setOf("img-1"))) }
        assertEquals(listOf("h2"), hosts(GangRound.run(gang(1), seats())))
        assertEquals(listOf("h1"), hosts(GangRound.run(gang(1).copy(errorHosts = listOf("h2")), seats())))
    }

    @Test
    fun `gangs like one that was short are not tried again in the same run`() {
        // Each free machine woke a hundred parked gangs, and their rounds took the leader's whole share.
        val known = ShortRounds()
        val seats = { listOf(seat("h1", 1), seat("h2", 1)) }
        assertTrue(known.run(gang(3), "", seats) is Round.Short)
        for (n in 3..5) assertEquals(Round.Short(0, n), known.run(gang(n), "", seats))
        assertEquals(1, known.runs)
        assertTrue(known.run(gang(2), "", seats) is Round.Full)
        assertTrue(known.run(gang(4), "clears", { listOf(seat("h1", 4)) }) is Round.Full, "with other rights")
        val failed = gang(3).copy(errorHosts = listOf("h1"))
        assertTrue(ShortRounds().apply { run(failed, "", seats) }.run(gang(2), "", seats) is Round.Full)
    }

    @Test
    fun `room is gathered for the largest late gang, one at a time, in the zone where it lacks least`() {
        // Smaller gangs took each machine as it came free, and the largest never had enough at once.
        fun old(id: String, n: Int, ms: Long) =
            gang(n, sameZone = true).let { it.copy(spec = it.spec.copy(id = id), submittedMs = ms) }
        val waiting = listOf(old("job-1", 2, 10), old("job-2", 4, 20), old("job-3", 4, 15), old("job-4", 8, 99))
        assertEquals("job-3", Gathering.next(waiting, lateMs = 50)?.id)
        // Kept from starting by its team's limit alone: only what its team submitted later makes way for it.
        val atLimit = Samples.job(Samples.spec(id = "job-3"), atMs = 20)
        val rows = listOf("red" to 10L, "red" to 20L, "red" to 30L, "blue" to 30L)
        assertEquals(
            listOf(false, false, true, false),
            rows.map { (team, ms) ->
                Gathering.yields(Samples.job(Samples.spec("job-4", owner = team), atMs = ms), atLimit)
            },
        )
        assertEquals(null, Gathering.next(waiting, lateMs = 5))
        assertEquals(null, Gathering.next(listOf(old("job-5", 1, 0)), lateMs = 50), "a single task needs none")
        val seats =
            listOf(seat("a1", 1), seat("b1", 1, "b"), seat("b2", 1, "b"), seat("c1", 1, "c", preemptible = true))
        assertEquals(
            listOf("a1", "c1"),
            Gathering.without(gang(3, sameZone = true), seats, seats).map {
                it.machine.name
            },
        )
        assertEquals(
            listOf("b1", "b2", "c1"),
            Gathering.without(gang(1), seats, seats).map {
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
            WarmWait.waits(ageS = 1.0, fetchS = 80.0, aimsS = aims, busyWarm = 4, rivals = 2) to true,
            WarmWait.waits(ageS = 1.0, fetchS = 80.0, aimsS = aims, busyWarm = 3, rivals = 2) to false,
            WarmWait.waits(ageS = 1.0, fetchS = 30.0, aimsS = aims, busyWarm = 9, rivals = 1) to false,
            WarmWait.waits(ageS = 55.0, fetchS = 80.0, aimsS = aims, busyWarm = 9, rivals = 1) to false,
            WarmWait.waits(ageS = 1.0, fetchS = 80.0, aimsS = emptyList(), busyWarm = 9, rivals = 1) to false,
        )
        for ((got, want) in table) assertEquals(want, got)
    }
}
