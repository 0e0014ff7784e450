package flaxfield.arrays

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.jobs.JobKind
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class GangCapacityReservationTest {
    @Test
    fun `on-demand machines of a type that gangs need are left to them`() {
        val machineTypes =
            listOf(
                Samples.machineType("big", Resources(16.0, 4.0, 64.0), 8.0, 3.0),
                Samples.machineType("small", Resources(8.0, 2.0, 32.0), 6.0, 2.0),
            )
        val gang = Samples.job(
            Samples.spec(
                jobKind = JobKind.GANG,
                taskCount = 1,
                preemptible = false,
                taskResources = Resources(12.0, 4.0, 40.0),
            ),
            atMs = 100,
        )
        val reservation = GangCapacityReservation()
        reservation.update(listOf(gang), machineTypes, nowMs = 100, keepMs = 50)
        val checkpointed = Samples.spec()
        val unsaved = Samples.spec(checkpointIntervalS = 0.0)
        assertEquals(
            listOf(false, true, true),
            listOf(
                reservation.isUnreservedFor(unsaved, "big", false),
                reservation.isUnreservedFor(unsaved, "big", true),
                reservation.isUnreservedFor(unsaved, "small", false),
            ),
        )
        // Tasks with checkpoints are cheap to evict: they may use such a machine while it is free.
        assertEquals(
            listOf(true, false),
            listOf(reservation.mayBackfill(checkpointed, "big", false), reservation.mayBackfill(unsaved, "big", false)),
        )
        reservation.update(emptyList(), machineTypes, nowMs = 200, keepMs = 50)
        assertEquals(true, reservation.isUnreservedFor(unsaved, "big", false))
    }

    @Test
    fun `arrays do not backfill machines that waiting gangs will take`() {
        // They would be evicted moments later.
        val machineTypes = listOf(Samples.machineType("big", Resources(16.0, 4.0, 64.0), 8.0, 3.0))
        val waiting = Samples.job(
            Samples.spec(jobKind = JobKind.GANG, taskCount = 4, preemptible = false, machineTypes = setOf("big")),
        )
        // the gangs, how many machines run no gang, whether all of these are claimed
        val table = listOf(
            Triple(listOf(waiting), 3, true),
            Triple(listOf(waiting), 4, true),
            Triple(listOf(waiting), 5, false),
            Triple(emptyList(), 3, false),
            Triple(listOf(waiting.copy(cancelledMs = 1)), 3, false),
            Triple(listOf(waiting.on(0 to "h", 1 to "h", 2 to "h", 3 to "h")), 3, false),
        )
        for ((gangs, open, want) in table) {
            val reservation = GangCapacityReservation()
            reservation.update(gangs, machineTypes, nowMs = 100, keepMs = 50)
            assertEquals(want, reservation.isClaimedByWaitingGangs("big", open), "$open open")
            assertEquals(false, reservation.isClaimedByWaitingGangs("small", open))
        }
    }

    @Test
    fun `arrays leave part of their team's quota to its gangs`() {
        val gang = { id: String, ms: Long ->
            Samples.job(Samples.spec(id = id, jobKind = JobKind.GANG, taskCount = 2), atMs = ms)
        }
        val reservation = GangCapacityReservation()
        reservation.update(listOf(gang("job-1", 10), gang("job-2", 20)), emptyList(), 30, 100)
        assertEquals(Resources(16.0, 4.0, 64.0), reservation.reservedQuota("red"))
        // A starved array leaves it to earlier gangs only.
        assertEquals(listOf(0.0, 2.0, 4.0), listOf(10L, 20L, 21L).map { reservation.waitingGangQuota("red", it).gpus })
        reservation.update(listOf(gang("job-2", 20).on(0 to "h", 1 to "h")), emptyList(), 30, 100)
        assertEquals(Resources(8.0, 2.0, 32.0), reservation.reservedQuota("red"))
        reservation.update(emptyList(), emptyList(), 200, 100)
        assertEquals(Resources.NONE, reservation.reservedQuota("red"))
    }
}
