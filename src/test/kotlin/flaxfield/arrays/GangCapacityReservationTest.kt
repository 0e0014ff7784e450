package flaxfield.arrays

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.jobs.JobKind
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class GangCapacityReservationTest {
    @Test
    fun `on-demand machines of a type that gangs need are reserved for a limited time`() {
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
        reservation.update(listOf(gang), machineTypes, nowMs = 100, retentionMs = 50)
        val withCheckpoints = Samples.spec()
        val withoutCheckpoints = Samples.spec(checkpointIntervalS = 0.0)
        assertEquals(
            listOf(false, true, true),
            listOf(
                reservation.isUnreservedFor(withoutCheckpoints, "big", false),
                reservation.isUnreservedFor(withoutCheckpoints, "big", true),
                reservation.isUnreservedFor(withoutCheckpoints, "small", false),
            ),
        )
        // Tasks with checkpoints are cheap to evict, so they may backfill a reserved machine.
        assertEquals(
            listOf(true, false),
            listOf(reservation.mayBackfill(withCheckpoints, "big", false), reservation.mayBackfill(withoutCheckpoints, "big", false)),
        )
        reservation.update(emptyList(), machineTypes, nowMs = 200, retentionMs = 50)
        assertEquals(true, reservation.isUnreservedFor(withoutCheckpoints, "big", false))
    }

    @Test
    fun `arrays do not backfill machines that waiting gangs will take`() {
        // The gangs would soon evict them again.
        val machineTypes = listOf(Samples.machineType("big", Resources(16.0, 4.0, 64.0), 8.0, 3.0))
        val waiting = Samples.job(
            Samples.spec(jobKind = JobKind.GANG, taskCount = 4, preemptible = false, machineTypes = setOf("big")),
        )
        // gangs, number of machines that run no gang, whether gangs claim all of these machines
        val rows = listOf(
            Triple(listOf(waiting), 3, true),
            Triple(listOf(waiting), 4, true),
            Triple(listOf(waiting), 5, false),
            Triple(emptyList(), 3, false),
            Triple(listOf(waiting.copy(cancelledMs = 1)), 3, false),
            Triple(listOf(waiting.on(0 to "h", 1 to "h", 2 to "h", 3 to "h")), 3, false),
        )
        for ((gangs, openMachines, expected) in rows) {
            val reservation = GangCapacityReservation()
            reservation.update(gangs, machineTypes, nowMs = 100, retentionMs = 50)
            assertEquals(expected, reservation.isClaimedByWaitingGangs("big", openMachines), "$openMachines open machines")
            assertEquals(false, reservation.isClaimedByWaitingGangs("small", openMachines))
        }
    }

    @Test
    fun `part of a team's quota is reserved for its waiting gangs, or else for its latest gang`() {
        val gang = { id: String, submittedMs: Long ->
            Samples.job(Samples.spec(id = id, jobKind = JobKind.GANG, taskCount = 2), atMs = submittedMs)
        }
        val reservation = GangCapacityReservation()
        reservation.update(listOf(gang("job-1", 10), gang("job-2", 20)), emptyList(), 30, 100)
        assertEquals(Resources(16.0, 4.0, 64.0), reservation.reservedQuota("red"))
        // Against a starved array, quota is reserved only for gangs that were submitted before it.
        assertEquals(listOf(0.0, 2.0, 4.0), listOf(10L, 20L, 21L).map { reservation.waitingGangQuota("red", it).gpus })
        reservation.update(listOf(gang("job-2", 20).on(0 to "h", 1 to "h")), emptyList(), 30, 100)
        assertEquals(Resources(8.0, 2.0, 32.0), reservation.reservedQuota("red"))
        reservation.update(emptyList(), emptyList(), 200, 100)
        assertEquals(Resources.NONE, reservation.reservedQuota("red"))
    }
}
