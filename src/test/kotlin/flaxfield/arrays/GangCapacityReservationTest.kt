package flaxfield.arrays

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.jobs.JobKind
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class GangCapacityReservationTest {
    @Test
    fun `ordinary machines of a type that gangs need are left to them`() {
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
        val r = GangCapacityReservation()
        r.update(listOf(gang), machineTypes, nowMs = 100, keepMs = 50)
        val saves = Samples.spec()
        val loses = Samples.spec(checkpointIntervalS = 0.0)
        assertEquals(
            listOf(false, true, true),
            listOf(
                r.isUnreservedFor(loses, "big", false),
                r.isUnreservedFor(loses, "big", true),
                r.isUnreservedFor(loses, "small", false),
            ),
        )
        // Tasks that save are cheap to evict: they may use such a machine while it is free.
        assertEquals(
            listOf(true, false),
            listOf(r.mayBackfill(saves, "big", false), r.mayBackfill(loses, "big", false)),
        )
        r.update(emptyList(), machineTypes, nowMs = 200, keepMs = 50)
        assertEquals(true, r.isUnreservedFor(loses, "big", false))
    }

    @Test
    fun `guests do not fill machines that waiting gangs will take`() {
        // They filled each machine as it came up, and were told to make way moments later.
        val machineTypes = listOf(Samples.machineType("big", Resources(16.0, 4.0, 64.0), 8.0, 3.0))
        val waits = Samples.job(
            Samples.spec(jobKind = JobKind.GANG, taskCount = 4, preemptible = false, machineTypes = setOf("big")),
        )
        // the gangs, and how many machines no gang is on: spoken for
        val table = listOf(
            Triple(listOf(waits), 3, true),
            Triple(listOf(waits), 4, true),
            Triple(listOf(waits), 5, false),
            Triple(emptyList(), 3, false),
            Triple(listOf(waits.copy(cancelledMs = 1)), 3, false),
            Triple(listOf(waits.on(0 to "h", 1 to "h", 2 to "h", 3 to "h")), 3, false),
        )
        for ((gangs, open, want) in table) {
            val r = GangCapacityReservation()
            r.update(gangs, machineTypes, nowMs = 100, keepMs = 50)
            assertEquals(want, r.isClaimedByWaitingGangs("big", open), "$open open")
            assertEquals(false, r.isClaimedByWaitingGangs("small", open))
        }
    }

    @Test
    fun `arrays leave their team's limit room for its gangs`() {
        // Arrays that filled the limit made the team's gangs wait for minutes.
        val gang = { id: String, ms: Long ->
            Samples.job(Samples.spec(id = id, jobKind = JobKind.GANG, taskCount = 2), atMs = ms)
        }
        val r = GangCapacityReservation()
        r.update(listOf(gang("job-1", 10), gang("job-2", 20)), emptyList(), 30, 100)
        assertEquals(Resources(16.0, 4.0, 64.0), r.reservedQuota("red"))
        // What has waited long leaves it to earlier gangs only.
        assertEquals(listOf(0.0, 2.0, 4.0), listOf(10L, 20L, 21L).map { r.waitingGangQuota("red", it).gpus })
        r.update(listOf(gang("job-2", 20).on(0 to "h", 1 to "h")), emptyList(), 30, 100)
        assertEquals(Resources(8.0, 2.0, 32.0), r.reservedQuota("red"))
        r.update(emptyList(), emptyList(), 200, 100)
        assertEquals(Resources.NONE, r.reservedQuota("red"))
    }
}
