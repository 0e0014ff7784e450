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
import flaxfield.members.Member
import flaxfield.members.MemberCodec
import flaxfield.settings.StateLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class StoreTest {
    private fun stored(map: Map<String, Any?>): FieldMap = Cbor.decode(Cbor.encode(map))

    private fun put(job: Job, version: ULong) =
        KeyUpdate(StoreKeys.JOB + job.id, stored(JobCodec.encodeHead(job)), version)

    @Test
    fun `older news of a key is ignored, dropped ones too`() {
        val w = ClusterView()
        w.apply(put(Samples.job().on(0 to "h"), 5uL))
        w.apply(put(Samples.job(), 4uL))
        w.apply(KeyUpdate(StoreKeys.JOB + "job-1", null, 5uL))
        assertEquals(1, w.jobs["job-1"]?.placedCount)
        w.apply(KeyUpdate(StoreKeys.JOB + "job-1", null, 6uL))
        assertEquals(0, w.jobs.size)
        assertEquals(0uL, w.version(StoreKeys.JOB + "job-1"))
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
            val w = ClusterView()
            items.forEach(w::apply)
            assertEquals(3, w.jobs["job-1"]?.placedCount)
            assertEquals(listOf(0, 9), w.on("h").map { it.placed.index }.sorted())
            w.apply(KeyUpdate(StoreKeys.JOB + "job-1", null, 4uL))
            assertEquals(emptyList<PlacedTask>(), w.on("h"))
            assertEquals(setOf("job-1/1", "job-1/2"), w.strayChunks.keys)
            w.apply(KeyUpdate(StoreKeys.chunk("job-1", 1), null, 5uL))
            assertEquals(setOf("job-1/2"), w.strayChunks.keys)
        }
    }

    @Test
    fun `free room is the type's less all records, old attempts included`() {
        val w = ClusterView()
        w.apply(
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
        val m = Samples.machine("h")
        w.apply(put(Samples.job().on(0 to "h", 1 to "g", 2 to "h").stop(listOf(0)), 2uL))
        assertEquals(Resources(8.0, 2.0, 32.0), w.free(m))
        w.apply(put(Samples.job().on(1 to "g"), 3uL))
        assertEquals(Resources(16.0, 4.0, 64.0), w.free(m))
    }

    @Test
    fun `a value that can't be read is left out`() {
        val w = ClusterView()
        w.apply(KeyUpdate(StoreKeys.JOB + "job-1", FieldMap(mapOf("spec" to 3)), 1uL))
        assertEquals(0, w.jobs.size)
        w.apply(put(Samples.job(), 2uL))
        assertEquals(1, w.jobs.size)
    }

    @Test
    fun `the budget keeps room for what matters more`() {
        val b = StoreBudget(StateLimits(100.0, 20.0, 16.0, 24), nodes = 2)
        assertTrue(b.ample(1))
        var summaries = 0
        while (b.take(WriteCause.ROOM, 1, 1)) summaries++
        var commits = 0
        while (b.take(WriteCause.GANG, 1, 1)) commits++
        var submits = 0
        while (b.take(WriteCause.SUBMIT, 1, 1)) submits++
        assertTrue(summaries in 6..8 && commits in 2..3 && submits in 3..5, "$summaries $commits $submits")
        assertFalse(b.ample(1))
        assertTrue(b.take(WriteCause.CANCEL, 1, 1))
        assertTrue(b.take(WriteCause.LEASE, 0, 1))
        assertFalse(b.take(WriteCause.ROOM, 1, 100_000_000))
        assertTrue(b.take(WriteCause.ROOM, 1, 1_000_000_000))
    }

    @Test
    fun `asking the budget costs nothing and tells what taking would get`() {
        // Placements were built and refused at every turn: whoever writes asks before it builds.
        val b = StoreBudget(StateLimits(100.0, 20.0, 16.0, 24), nodes = 2)
        val asked = listOf(
            WriteCause.ARRAY to 2,
            WriteCause.TRICKLE to 1,
            WriteCause.FINISH to 1,
            WriteCause.GANG to 8,
            WriteCause.SUBMIT to 1,
            WriteCause.ROOM to 3,
        )
        var refused = 0
        for (step in 1..60L) {
            val now = step * 40_000_000
            for ((cause, puts) in asked) {
                val may = b.may(cause, puts, now)
                assertEquals(may, b.may(cause, puts, now), "asked twice: $cause")
                assertEquals(may, b.take(cause, puts, now), "$cause $puts at step $step")
                if (!may) refused++
            }
        }
        assertTrue(refused in 1 until 60 * asked.size, "$refused refused")
    }

    @Test
    fun `a transaction that the state service never takes is found before it is sent`() {
        val limits = StateLimits(100.0, 20.0, 1.0, 4)
        fun put(key: String, bytes: Int) = Change.Put(key, mapOf("v" to "x".repeat(bytes - 9)))
        val table = listOf(
            Transaction(mapOf("a" to 1uL), listOf(put("a", 1024))) to true,
            Transaction(mapOf("a" to 1uL), listOf(put("a", 1025))) to false,
            Transaction(emptyMap(), List(4) { Change.Delete("a$it") }) to true,
            Transaction(emptyMap(), List(5) { Change.Delete("a$it") }) to false,
            Transaction((0 until 16).associate { "a$it" to 1uL }, emptyList()) to true,
            Transaction((0 until 17).associate { "a$it" to 1uL }, emptyList()) to false,
            Transaction(mapOf("a".repeat(201) to 1uL), listOf(Change.Delete("a".repeat(201)))) to false,
        )
        for ((txn, fits) in table) {
            assertEquals(
                fits,
                TransactionSize.fault(txn, limits) == null,
                TransactionSize.fault(txn, limits),
            )
        }
        val wide = StateLimits(100.0, 20.0, 32.0, 24)
        assertEquals(
            true,
            TransactionSize.fault(Transaction(emptyMap(), listOf(put("a", 32_000), put("b", 32_000))), wide) == null,
        )
        assertEquals(
            false,
            TransactionSize.fault(Transaction(emptyMap(), List(3) { put("a$it", 30_000) }), wide) == null,
        )
    }

    @Test
    fun `a size is counted as the JSON that it would be`() {
        val o = mapOf("a" to listOf(1, 2.5, true, null), "text" to "plain", "m" to mapOf("k" to ULong.MAX_VALUE))
        val written = """{"a":[1,2.5,true,null],"text":"plain","m":{"k":18446744073709551615}}"""
        assertTrue(
            TransactionSize.json(o) in written.length..written.length + 8,
            "${TransactionSize.json(o)} ${written.length}",
        )
        assertEquals(2 + 1 + 6 + 6, TransactionSize.json("a\"\u00e9"), "escapes count at their longest")
    }

    @Test
    fun `records by host follow each change of a job`() {
        val w = ClusterView()
        w.apply(put(Samples.job().on(0 to "h", 1 to "h", 2 to "g"), 1uL))
        assertEquals(listOf(2, 1, 0), listOf("h", "g", "x").map { w.countOn(it, "job-1") })
        assertEquals(emptySet<String>(), w.halting)
        w.apply(put(Samples.job().on(1 to "h", 2 to "x").stop(listOf(2)), 2uL))
        assertEquals(listOf(1, 0, 1), listOf("h", "g", "x").map { w.countOn(it, "job-1") })
        assertEquals(listOf(false, true, false), listOf("h", "g", "x").map(w::isEmpty))
        assertEquals(setOf("job-1"), w.halting)
        assertEquals(2.0, w.use(mapOf("red" to Samples.team("red"))).of("red").gpus)
        w.apply(KeyUpdate(StoreKeys.JOB + "job-1", null, 3uL))
        assertEquals(listOf(true, true), listOf("h", "x").map(w::isEmpty))
        assertEquals(emptySet<String>(), w.halting)
        assertEquals(0.0, w.use(mapOf("red" to Samples.team("red"))).of("red").gpus)
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
        val w = ClusterView()
        val a = Member("a", "1", "north")
        w.apply(KeyUpdate(StoreKeys.ASSIGNMENT, stored(MemberCodec.encode(a, listOf(a))), 7uL))
        w.apply(page(StoreKeys.shardSummary("a", 0), 7, 8, "h" to MachineHealth.OK, "g" to MachineHealth.OK))
        w.apply(page(StoreKeys.shardSummary("b", 0), 6, 9, "h" to MachineHealth.SILENT))
        assertEquals(MachineHealth.OK, w.machineStatus("h")?.state, "an older term's page comes late")
        // The page is split: the row appears in the new page before the old one is written without it.
        w.apply(page(StoreKeys.shardSummary("a", 1), 7, 10, "g" to MachineHealth.NOTICE))
        w.apply(page(StoreKeys.shardSummary("a", 0), 7, 11, "h" to MachineHealth.OK))
        assertEquals(MachineHealth.NOTICE, w.machineStatus("g")?.state)
        w.apply(KeyUpdate(StoreKeys.ASSIGNMENT, stored(MemberCodec.encode(a, listOf(a))), 12uL))
        assertEquals(null, w.machineStatus("h"))
        assertEquals(MachineHealth.OK, w.lastKnownStatus("h")?.state)
    }

    @Test
    fun `a claim is void under another term, and once its gang is placed, cancelled or gone`() {
        val gang = Samples.job(Samples.spec(jobKind = JobKind.GANG, taskCount = 2))
        val m = Samples.machine("h").copy(reservation = MachineReservation("job-1", 7uL, 1, false, 1))
        fun held(job: Job?, term: Int = 7): Boolean = ClusterView().apply {
            val a = Member("a", "1", "north")
            apply(KeyUpdate(StoreKeys.ASSIGNMENT, stored(MemberCodec.encode(a, listOf(a))), term.toULong()))
            if (job != null) apply(put(job, 8uL))
        }.activeReservation(m) != null
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

    @Test
    fun `the nodes' parts of the limits never sum to more than the whole, takeovers included`() {
        // Rows: nodes in all, members under the assignment, and how many of these think that they lead.
        for (size in 1..5) {
            for (members in 1..size) {
                val leader = RateShare.of(size, members, member = true, isLeader = true)
                val other = RateShare.of(size, members, member = true, isLeader = false)
                val transports = RateShare.of(size, members, member = false, isLeader = false)
                val writes = leader.writes + other.writes * (members - 1) + transports.writes * (size - members)
                val requests = leader.requests + other.requests * (members - 1) + transports.requests * (size - members)
                assertEquals(1.0, writes, 1e-9, "$size $members")
                assertEquals(1.0, requests, 1e-9, "$size $members")
                assertTrue(leader.writes >= other.writes && other.writes > transports.writes - 1e-9, "$size $members")
            }
        }
    }
}
