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

/** Updates in any order of arrival, and the indexes that follow them. */
class ClusterViewTest {
    private fun stored(map: Map<String, Any?>): FieldMap = Cbor.decode(Cbor.encode(map))

    private fun put(job: Job, version: ULong) = KeyUpdate(StoreKeys.JOB + job.id, stored(JobCodec.encodeHead(job)), version)

    @Test
    fun `older news of a key is ignored, dropped ones too`() {
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
    fun `chunks find their head in either order, and are strays after it`() {
        val big = Samples.job(Samples.spec(taskCount = 20)).on(0 to "h", 9 to "h", 17 to "g")
        val part = KeyUpdate(StoreKeys.chunk("job-1", 1), stored(JobCodec.encodeChunk(big.chunk(9))), 3uL)
        val far = KeyUpdate(StoreKeys.chunk("job-1", 2), stored(JobCodec.encodeChunk(big.chunk(17))), 3uL)
        for (items in listOf(
            listOf(put(big, 3uL), part, far),
            listOf(part, put(big, 3uL), far),
            listOf(far, part, put(big, 3uL)),
        )) {
            val replica = ClusterReplica()
            val view = replica.view
            items.forEach(replica::apply)
            assertEquals(3, view.jobs["job-1"]?.placedCount)
            assertEquals(listOf(0, 9), view.on("h").map { it.placed.index }.sorted())
            replica.apply(KeyUpdate(StoreKeys.JOB + "job-1", null, 4uL))
            assertEquals(emptyList<PlacedTask>(), view.on("h"))
            assertEquals(setOf("job-1/1", "job-1/2"), view.orphanedChunks.keys)
            replica.apply(KeyUpdate(StoreKeys.chunk("job-1", 1), null, 5uL))
            assertEquals(setOf("job-1/2"), view.orphanedChunks.keys)
        }
    }

    @Test
    fun `free room is the type's less all records, old attempts included`() {
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
        assertEquals(Resources(8.0, 2.0, 32.0), view.free(machine))
        replica.apply(put(Samples.job().on(1 to "g"), 3uL))
        assertEquals(Resources(16.0, 4.0, 64.0), view.free(machine))
    }

    @Test
    fun `a value that can't be read is left out`() {
        val replica = ClusterReplica()
        val view = replica.view
        replica.apply(KeyUpdate(StoreKeys.JOB + "job-1", FieldMap(mapOf("spec" to 3)), 1uL))
        assertEquals(0, view.jobs.size)
        replica.apply(put(Samples.job(), 2uL))
        assertEquals(1, view.jobs.size)
    }

    @Test
    fun `records by host follow each change of a job`() {
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
    fun `a machine's row is the one written under the latest term, from whichever page`() {
        fun page(key: String, term: Int, version: Int, vararg hosts: Pair<String, MachineHealth>) = KeyUpdate(
            key,
            stored(
                ShardSummaryCodec.encode(
                    ShardSummary(
                        term.toULong(),
                        hosts.associate { (h, s) ->
                            h to
                                MachineStatus(s, 1uL, "", emptyList())
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
        assertEquals(MachineHealth.OK, view.machineStatus("h")?.state, "an older term's page comes late")
        // The page is split: the row appears in the new page before the old one is written without it.
        replica.apply(page(StoreKeys.shardSummary("a", 1), 7, 10, "g" to MachineHealth.NOTICE))
        replica.apply(page(StoreKeys.shardSummary("a", 0), 7, 11, "h" to MachineHealth.OK))
        assertEquals(MachineHealth.NOTICE, view.machineStatus("g")?.state)
        replica.apply(KeyUpdate(StoreKeys.ASSIGNMENT, stored(MemberCodec.encode(a, listOf(a))), 12uL))
        assertEquals(null, view.machineStatus("h"))
        assertEquals(MachineHealth.OK, view.lastKnownStatus("h")?.state)
    }

    @Test
    fun `a claim is void under another term, and once its gang is placed, cancelled or gone`() {
        val gang = Samples.job(Samples.spec(jobKind = JobKind.GANG, taskCount = 2))
        val machine = Samples.machine("h").copy(reservation = MachineReservation("job-1", 7uL, 1, false, 1))
        fun held(job: Job?, term: Int = 7): Boolean = ClusterReplica().apply {
            val a = Member("a", "1", "north")
            apply(KeyUpdate(StoreKeys.ASSIGNMENT, stored(MemberCodec.encode(a, listOf(a))), term.toULong()))
            if (job != null) apply(put(job, 8uL))
        }.view.activeReservation(machine) != null
        val placed = gang.on(0 to "h", 1 to "g")
        val table = listOf(
            held(gang) to true,
            held(gang, term = 8) to false,
            held(gang.copy(cancelledMs = 1)) to false,
            held(placed) to false,
            // All have left and it waits again: the claim was for the attempt before.
            held(placed.free(listOf(0, 1))) to false,
            held(null) to false,
        )
        for ((k, row) in table.withIndex()) assertEquals(row.second, row.first, "row $k")
    }
}
