package flaxfield.store

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.arrays.MachineHealth
import flaxfield.arrays.MachineStatus
import flaxfield.arrays.ShardSummary
import flaxfield.arrays.ShardSummaryCodec
import flaxfield.codec.Cbor
import flaxfield.codec.FieldMap
import flaxfield.fleet.FleetCodec
import flaxfield.fleet.MachineReservation
import flaxfield.jobs.Job
import flaxfield.jobs.JobCodec
import flaxfield.jobs.JobKind
import flaxfield.jobs.Resources
import flaxfield.membership.Member
import flaxfield.membership.MemberCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** The view and its indexes must be correct in whichever order updates arrive. */
class ClusterViewTest {
    private fun stored(map: Map<String, Any?>): FieldMap = Cbor.decode(Cbor.encode(map))

    private fun put(job: Job, version: ULong) = KeyUpdate(StoreKeys.JOB + job.id, stored(JobCodec.encodeHead(job)), version)

    @Test
    fun `ignores updates and deletions that are no newer than the current record`() {
        val replica = ClusterReplica()
        val view = replica.view
        replica.apply(put(Samples.job().on(0 to "h"), 5uL))
        replica.apply(put(Samples.job(), 4uL))
        replica.apply(KeyUpdate(StoreKeys.JOB + "job-1", null, 5uL))
        assertEquals(1, view.jobs["job-1"]?.placedCount)
        replica.apply(KeyUpdate(StoreKeys.JOB + "job-1", null, 6uL))
        assertEquals(0, view.jobs.size)
        assertEquals(0uL, view.version(StoreKeys.JOB + "job-1"))
    }

    @Test
    fun `assembles head and chunks in any order, and keeps chunks without a head apart`() {
        val job = Samples.job(Samples.spec(taskCount = 20)).on(0 to "h", 9 to "h", 17 to "g")
        val chunk1 = KeyUpdate(StoreKeys.chunk("job-1", 1), stored(JobCodec.encodeChunk(job.chunk(9))), 3uL)
        val chunk2 = KeyUpdate(StoreKeys.chunk("job-1", 2), stored(JobCodec.encodeChunk(job.chunk(17))), 3uL)
        for (items in listOf(
            listOf(put(job, 3uL), chunk1, chunk2),
            listOf(chunk1, put(job, 3uL), chunk2),
            listOf(chunk2, chunk1, put(job, 3uL)),
        )) {
            val replica = ClusterReplica()
            val view = replica.view
            items.forEach(replica::apply)
            assertEquals(3, view.jobs["job-1"]?.placedCount)
            assertEquals(listOf(0, 9), view.placedTasksOn("h").map { it.placed.index }.sorted())
            replica.apply(KeyUpdate(StoreKeys.JOB + "job-1", null, 4uL))
            assertEquals(emptyList<PlacedTask>(), view.placedTasksOn("h"))
            assertEquals(setOf("job-1/1", "job-1/2"), view.orphanedChunks.keys)
            replica.apply(KeyUpdate(StoreKeys.chunk("job-1", 1), null, 5uL))
            assertEquals(setOf("job-1/2"), view.orphanedChunks.keys)
        }
    }

    @Test
    fun `free resources are the type's capacity less all placements, stopping tasks included`() {
        val replica = ClusterReplica()
        val view = replica.view
        replica.apply(
            KeyUpdate(
                StoreKeys.MACHINE_TYPES,
                stored(
                    FleetCodec.encodeMachineTypes(
                        listOf(Samples.machineType("big", Resources(16.0, 4.0, 64.0), 8.0, 3.0)),
                        1,
                    ),
                ),
                1uL,
            ),
        )
        val machine = Samples.machine("h")
        replica.apply(put(Samples.job().on(0 to "h", 1 to "g", 2 to "h").stop(listOf(0)), 2uL))
        assertEquals(Resources(8.0, 2.0, 32.0), view.room(machine)?.resources)
        replica.apply(put(Samples.job().on(1 to "g"), 3uL))
        assertEquals(Resources(16.0, 4.0, 64.0), view.room(machine)?.resources)
    }

    @Test
    fun `skips a value that cannot be decoded`() {
        val replica = ClusterReplica()
        val view = replica.view
        replica.apply(KeyUpdate(StoreKeys.JOB + "job-1", FieldMap(mapOf("spec" to 3)), 1uL))
        assertEquals(0, view.jobs.size)
        replica.apply(put(Samples.job(), 2uL))
        assertEquals(1, view.jobs.size)
    }

    @Test
    fun `the index by machine follows each change of a job`() {
        val replica = ClusterReplica()
        val view = replica.view
        replica.apply(put(Samples.job().on(0 to "h", 1 to "h", 2 to "g"), 1uL))
        assertEquals(listOf(2, 1, 0), listOf("h", "g", "x").map { view.taskCountOn(it, "job-1") })
        assertEquals(emptySet<String>(), view.halting)
        replica.apply(put(Samples.job().on(1 to "h", 2 to "x").stop(listOf(2)), 2uL))
        assertEquals(listOf(1, 0, 1), listOf("h", "g", "x").map { view.taskCountOn(it, "job-1") })
        assertEquals(listOf(false, true, false), listOf("h", "g", "x").map(view::isEmpty))
        assertEquals(setOf("job-1"), view.halting)
        assertEquals(2.0, view.usage(mapOf("red" to Samples.team("red"))).of("red").gpus)
        replica.apply(KeyUpdate(StoreKeys.JOB + "job-1", null, 3uL))
        assertEquals(listOf(true, true), listOf("h", "x").map(view::isEmpty))
        assertEquals(emptySet<String>(), view.halting)
        assertEquals(0.0, view.usage(mapOf("red" to Samples.team("red"))).of("red").gpus)
    }

    @Test
    fun `a machine's status is the one published under the latest term, whichever page contains it`() {
        fun page(key: String, term: Int, version: Int, vararg machines: Pair<String, MachineHealth>) = KeyUpdate(
            key,
            stored(
                ShardSummaryCodec.encode(
                    ShardSummary(
                        term.toULong(),
                        machines.associate { (name, health) ->
                            name to MachineStatus(health, 1uL, "", emptyList())
                        },
                    ),
                ),
            ),
            version.toULong(),
        )
        val replica = ClusterReplica()
        val view = replica.view
        val a = Member("a", "1", "north")
        replica.apply(KeyUpdate(StoreKeys.ASSIGNMENT, stored(MemberCodec.encode(a, listOf(a))), 7uL))
        replica.apply(page(StoreKeys.shardSummary("a", 0), 7, 8, "h" to MachineHealth.OK, "g" to MachineHealth.OK))
        replica.apply(page(StoreKeys.shardSummary("b", 0), 6, 9, "h" to MachineHealth.SILENT))
        assertEquals(MachineHealth.OK, view.machineStatus("h")?.health, "a page of an older term arrives late")
        // The page is split: the machine appears in the new page before the old page is written without it.
        replica.apply(page(StoreKeys.shardSummary("a", 1), 7, 10, "g" to MachineHealth.NOTICE))
        replica.apply(page(StoreKeys.shardSummary("a", 0), 7, 11, "h" to MachineHealth.OK))
        assertEquals(MachineHealth.NOTICE, view.machineStatus("g")?.health)
        replica.apply(KeyUpdate(StoreKeys.ASSIGNMENT, stored(MemberCodec.encode(a, listOf(a))), 12uL))
        assertEquals(null, view.machineStatus("h"))
        assertEquals(MachineHealth.OK, view.lastKnownStatus("h")?.health)
    }

    @Test
    fun `a reservation is void under another term, and once its gang is placed, cancelled or deleted`() {
        val gang = Samples.job(Samples.spec(jobKind = JobKind.GANG, taskCount = 2))
        val machine = Samples.machine("h").copy(reservation = MachineReservation("job-1", 7uL, 1, false, 1))
        fun isActive(job: Job?, term: Int = 7): Boolean = ClusterReplica().apply {
            val a = Member("a", "1", "north")
            apply(KeyUpdate(StoreKeys.ASSIGNMENT, stored(MemberCodec.encode(a, listOf(a))), term.toULong()))
            if (job != null) apply(put(job, 8uL))
        }.view.activeReservation(machine) != null
        val placed = gang.on(0 to "h", 1 to "g")
        val table = listOf(
            isActive(gang) to true,
            isActive(gang, term = 8) to false,
            isActive(gang.copy(cancelledMs = 1)) to false,
            isActive(placed) to false,
            // All tasks have ended and the gang waits again: the reservation was made for the previous attempt.
            isActive(placed.free(listOf(0, 1))) to false,
            isActive(null) to false,
        )
        for ((index, row) in table.withIndex()) assertEquals(row.second, row.first, "row $index")
    }
}
