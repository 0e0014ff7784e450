package flaxfield.jobs

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.codec.MalformedException
import flaxfield.codec.Cbor
import flaxfield.settings.StateLimits
import flaxfield.store.TransactionSize
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows

class JobTest {
    private val wire = JobCodec.encodeSpec(Samples.spec(id = "job-000412"))

    @Test
    fun `a submission survives the wire and the store`() {
        val spec = JobCodec.decodeSpec(Cbor.decode(Cbor.encode(wire)))
        assertEquals(Samples.spec(id = "job-000412"), spec)
        val job = Samples.job(
            spec,
            atMs = 77,
        ).on(0 to "host-1", 3 to "host-2").finish(listOf(3)).copy(failedMachines = listOf("host-9"), failureCount = 2)
        val read = JobCodec.decodeHead(Cbor.decode(Cbor.encode(JobCodec.encodeHead(job))), job.version)
        assertEquals(job.copy(chunks = emptyMap()), read.copy(chunks = emptyMap()))
        assertEquals(job.chunk(0).placed, read.chunk(0).placed)
        assertEquals(job.chunk(0).done, read.chunk(0).done)
    }

    @Test
    fun `malformed submissions are refused, unknown fields are not`() {
        val bad = listOf(
            "id" to null, "id" to "412", "id" to "job-", "id" to "job-1/2", "shape" to "crowd", "urgency" to "low",
            "shards" to 0, "shards" to 100_001, "shards" to "3", "vcpus" to -1.0, "vcpus" to null, "vcpus" to Double.NaN,
            "bundle" to "", "flavors" to "g8", "flavors" to listOf(1), "site" to 3, "same_place" to "yes", "due_s" to "soon",
        )
        for ((key, value) in bad) {
            assertThrows<MalformedException>("$key=$value") { JobCodec.decodeSpec(Cbor.decode(Cbor.encode(wire + (key to value)))) }
        }
        assertEquals("job-000412", JobCodec.decodeSpec(Cbor.decode(Cbor.encode(wire + ("colour" to "red")))).id)
        // Jobs that lacked a flag were accepted. A field that may be null may also be left out, no other.
        val optional = setOf("flavors", "site", "due_s")
        for (key in wire.keys) {
            val without = Cbor.decode(Cbor.encode(wire - key))
            if (key in optional) JobCodec.decodeSpec(without) else assertThrows<MalformedException>("without $key") { JobCodec.decodeSpec(without) }
        }
    }

    @Test
    fun `a job that can never run is refused with its reason`() {
        val machineTypes = mapOf("big" to Samples.machineType("big", Resources(16.0, 4.0, 64.0), 8.0, 3.0, listOf("a")))
        val teams = mapOf("red" to Samples.team("red", gpusMax = 4.0))
        val table = listOf(
            Samples.spec() to true,
            Samples.spec(team = "blue") to false,
            Samples.spec(taskResources = Resources(17.0, 1.0, 1.0)) to false,
            Samples.spec(machineTypes = setOf("small")) to false,
            Samples.spec(zone = "b") to false,
            Samples.spec(jobKind = JobKind.GANG, taskCount = 4) to true,
            Samples.spec(jobKind = JobKind.GANG, taskCount = 5) to false,
            Samples.spec(jobKind = JobKind.ARRAY, taskCount = 500) to true,
        )
        for ((spec, fine) in table) assertEquals(fine, JobAdmission.rejectionReason(spec, teams, machineTypes) == null, spec.toString())
    }

    @Test
    fun `attempts are never used again`() {
        var job = Samples.job()
        val seen = HashSet<Long>()
        repeat(5) {
            job = job.on(2 to "host-1")
            assertTrue(seen.add(job.placed(2)?.attempt ?: -1))
            job = job.free(listOf(2))
        }
        var gang = Samples.job(Samples.spec(jobKind = JobKind.GANG, taskCount = 20))
        for (n in 1L..3L) {
            gang = gang.place((0 until 20).associateWith { Job.Target("host-$it", 1uL) }, gang.nextGangAttempt())
            assertEquals(setOf(n), gang.allPlaced().map { it.attempt }.toSet())
            gang = gang.free((0 until 20).toList())
        }
    }

    @Test
    fun `pending tasks are neither placed nor done and start where asked`() {
        val job = Samples.job().on(0 to "host-1").finish(listOf(0)).on(2 to "host-1")
        assertEquals(listOf(1, 3), job.pending().toList())
        assertEquals(listOf(3, 1), job.pending(2).toList())
        val wide = Samples.job(Samples.spec(taskCount = 20)).on(1 to "h", 9 to "h").finish(listOf(9, 8))
        assertEquals((10..19) + listOf(0) + (2..7), wide.pending(9).toList())
        assertEquals((16..19).toList(), wide.pending { it == 2 }.toList())
    }

    @Test
    fun `proofs settle only the attempt they are about`() {
        val job = Samples.job().on(0 to "host-1", 1 to "host-1")
        assertSame(job, TaskEventRules.apply(job, listOf(TaskEvent.Completed("job-1", 0, 99)), 0, 0))
        assertTrue(TaskEventRules.apply(job, listOf(TaskEvent.Completed("job-1", 0, 1)), 0, 0).isDone(0))
        val left = TaskEventRules.apply(job, listOf(TaskEvent.Lost("job-1", 1, 1, "host-1", "stopped", false)), 0, 0)
        assertNull(left.placed(1))
        assertFalse(left.isDone(1))
        assertEquals(0, left.failureCount)
    }

    @Test
    fun `one done task completes a gang, one lost task stops it`() {
        val gang = Samples.job(Samples.spec(jobKind = JobKind.GANG, taskCount = 3)).on(0 to "host-1", 1 to "host-2", 2 to "host-3")
        assertTrue(TaskEventRules.apply(gang, listOf(TaskEvent.Completed("job-1", 1, 1)), 0, 0).complete)
        val broken = TaskEventRules.apply(gang, listOf(TaskEvent.Lost("job-1", 1, 1, "host-2", "mates_gone", false)), 0, 0)
        assertEquals(listOf(true, true), broken.allPlaced().map { it.stopping }.toList())
    }

    @Test
    fun `a job that fails on one machine after another backs off`() {
        var job = Samples.job(Samples.spec(taskCount = 1))
        val waits = (1..9).map { n ->
            job =
                TaskEventRules.apply(
                    job.on(0 to "host-$n"),
                    listOf(TaskEvent.Lost("job-1", 0, job.chunk(0).next, "host-$n", "error", true)),
                    1_000,
                    100,
                )
            if (job.retryAtMs == 0L) 0 else job.retryAtMs - 1_000
        }
        assertEquals(listOf<Long>(0, 100, 200, 400, 800, 1600, 3200, 3200, 3200), waits)
        assertEquals(8, job.failedMachines.size)
    }

    @Test
    fun `a job's records fit the state service's values at any size`() {
        for (valueKb in listOf(4.0, 16.0, 32.0)) {
            val limits = StateLimits(150.0, 30.0, valueKb, 24)
            val size = JobTransactions.tasksPerChunk(limits)
            val spec = Samples.spec(id = "job-" + "9".repeat(18), taskCount = 100_000)
            val job = Samples.job(spec, chunkTasks = size).copy(failedMachines = List(8) { "host-00000$it" })
            val spread = (0 until size * 40).associateWith { Job.Target("host-%06d".format(it), 9uL) }
            val full = job.place(spread).let { j -> (1..40).fold(j) { x, _ -> x.place(emptyMap()) } }
            // Every other task done: the most ranges. What a proof or a placement may change at once fits as well.
            val half = full.finish((0 until size * 40 step 2).toList())
            for (j in listOf(full, half)) {
                val chunks = j.chunks.keys.sorted().take(JobTransactions.maxChunks(limits) + 1).toSet()
                val next = j.copy(chunks = j.chunks.mapValues { (n, c) -> if (n in chunks) c.copy(next = c.next + 1) else c })
                assertNull(TransactionSize.fault(JobTransactions.update(j, next, 1uL), limits), "$valueKb KiB")
                assertTrue(TransactionSize.json(JobCodec.encodeChunk(j.chunk(size * 39))) < valueKb * 1024)
            }
        }
    }

    @Test
    fun `parts that change different chunks of an array do not fail one another`() {
        // The head was written with each placement and each end: of three parts on one array all but one wrote in vain.
        val array = Samples.job(Samples.spec(taskCount = 24)).on(9 to "h")
        val far = JobTransactions.update(array, array.on(17 to "g"), 5uL)
        assertEquals(listOf(StoreKeys.chunk("job-1", 2)), far.changes.map { it.key })
        // A cancellation changes the head: whatever is decided on the job before it must fail.
        assertEquals(array.version, far.conditions[StoreKeys.JOB + "job-1"])
        assertEquals(5uL, far.conditions[StoreKeys.ASSIGNMENT])
        val failed = TaskEventRules.apply(array, listOf(TaskEvent.Lost("job-1", 9, 1, "h", "error", true)), 0, 0)
        assertEquals(setOf(StoreKeys.JOB + "job-1", StoreKeys.chunk("job-1", 1)), keys(JobTransactions.update(array, failed, 5uL)))
        // Where one task may go depends on where the others are: their chunks must not change unnoticed.
        for (spec in listOf(Samples.spec(taskCount = 24, sameZone = true), Samples.spec(taskCount = 24, jobKind = JobKind.GANG))) {
            val bound = Samples.job(spec)
            assertEquals(
                setOf(StoreKeys.JOB + "job-1", StoreKeys.chunk("job-1", 2)),
                keys(JobTransactions.update(bound, bound.on(17 to "g"), 5uL)),
            )
        }
    }

    private fun keys(txn: Transaction) = txn.changes.map { it.key }.toSet()

    @Test
    fun `a job that fails everywhere and completes nothing is taken for a mistake`() {
        fun failed(job: Job, hosts: Int, times: Int) = job.copy(failedMachines = List(hosts) { "host-$it" }, failureCount = times)
        val job = Samples.job()
        val table = listOf(
            job to false,
            failed(job, 1, 9) to false,
            failed(job, 2, 2) to true,
            // It stands on more machines than it failed on, or has completed something: the machines were faulty.
            failed(job.on(0 to "a", 1 to "b"), 2, 2) to false,
            failed(job.on(0 to "a").finish(listOf(0)), 2, 9) to false,
        )
        for ((j, want) in table) assertEquals(want, j.isSuspect, "$j")
        // Nobody waits for it; but if it has long been due in vain, it takes its turn as any other.
        assertTrue(failed(job, 2, 2).copy(retryAtMs = 500).isDeprioritized(overdueBeforeMs = 400))
        assertFalse(failed(job, 2, 2).copy(retryAtMs = 300).isDeprioritized(overdueBeforeMs = 400))
        val done = failed(job.on(0 to "a", 1 to "b"), 3, 3).finish(listOf(0))
        assertEquals(0, TaskEventRules.apply(done, listOf(TaskEvent.Lost("job-1", 1, 1, "b", "error", true)), 1_000, 100).retryAtMs)
    }

    @Test
    fun `what keeps a job from moving on is named`() {
        val known: (String) -> Boolean = { it == "h" }
        val job = Samples.job()
        val table = listOf(
            job to Stall.WAITS_FOR_RESOURCES,
            job.copy(retryAtMs = 11) to Stall.BACKS_OFF,
            job.on(0 to "h", 1 to "h", 2 to "h", 3 to "h") to Stall.RUNS,
            job.on(0 to "h", 1 to "h", 2 to "h", 3 to "h").stop(listOf(1)) to Stall.WAITS_FOR_PROOF,
            // Its host's record went with the answer to the return: nobody else would ever tell that it left.
            job.on(0 to "h", 1 to "lost") to Stall.MACHINE_GONE,
        )
        for ((j, want) in table) assertEquals(want, StallRules.reason(j, 10, known))
    }

    @Test
    fun `a job has waited long once it had nothing on any machine for most of 90 s`() {
        val waits = StarvationTracker()
        val job = Samples.job()
        val mistaken = Samples.job().copy(failedMachines = listOf("h1", "h2"), failureCount = 2)
        waits.update(listOf(job), 0)
        val table = listOf(
            Triple("not yet", job to 54_000L, false),
            Triple("long", job to 54_001L, true),
            Triple("never seen to wait", Samples.job(Samples.spec(id = "job-2")) to 99_000L, false),
            Triple("a mistake has no claim", mistaken to 99_000L, false),
        )
        for ((what, asked, want) in table) assertEquals(want, waits.isStarved(asked.first, asked.second), what)
        // A placement that was taken back within a second, with its machine, ran nothing: the job goes on waiting.
        // Counted anew from there, it waited for 90 s beside a machine that fits.
        waits.update(listOf(job.on(0 to "h")), 60_000)
        assertEquals(false, waits.isStarved(job.on(0 to "h"), 60_500), "placed now")
        waits.update(listOf(job), 61_000)
        assertEquals(true, waits.isStarved(job, 62_000))
        // Something of it has run meanwhile: it starts anew.
        waits.update(listOf(job.on(0 to "h")), 65_000)
        waits.update(listOf(job.on(0 to "h")), 78_501)
        waits.update(listOf(job), 79_000)
        assertEquals(false, waits.isStarved(job, 133_000))
        assertEquals(true, waits.isStarved(job, 133_001))
        // Long at its team's limit, with nothing pending or cancelled: it does not wait.
        waits.update(listOf(job.copy(cancelledMs = 1)), 62_000)
        assertEquals(false, waits.isStarved(job, 999_000))
    }
}
