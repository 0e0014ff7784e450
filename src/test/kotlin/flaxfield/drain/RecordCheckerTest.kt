package flaxfield.drain

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.codec.Cbor
import flaxfield.fleet.FleetCodec
import flaxfield.jobs.Job
import flaxfield.jobs.JobCodec
import flaxfield.jobs.TaskId
import flaxfield.settings.StateLimits
import flaxfield.sim.SimLoop
import flaxfield.sim.SimStore
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Checks that [RecordChecker] detects violations, with records as a faulty controller would write them. */
class RecordCheckerTest {
    private val loop = SimLoop(1)
    private val store = SimStore(loop, StateLimits(1e6, 1e6, 64.0, 100))
    private val checker = RecordChecker(store, { loop.nowS }) { _, _ -> Amount(8.0, 2.0) }

    init {
        write("live/host/h" to FleetCodec.encode(Samples.machine("h").copy(cordon = "d-1")))
    }

    private fun write(vararg records: Pair<String, Map<String, Any?>>) {
        val body = mapOf(
            "when" to emptyList<Any>(),
            "apply" to records.map { mapOf("write" to it.first, "value" to it.second) },
        )
        store.serve(0, "POST", "/txn", Cbor.encode(body)) { assertEquals(200, it.status) }
        checker.check()
    }

    private fun placed(id: String): Job = Samples.job(Samples.spec(id = id, taskCount = 2)).on(0 to "h", 1 to "h")

    private fun head(job: Job) = "live/job/${job.id}" to JobCodec.encodeHead(job)

    private fun ledger(vararg tasks: TaskId) =
        "live/fleet/ledger/red" to DrainCodec.encode(Ledger("red", tasks.associateWith { Disruption(1, "d-1") }, 0uL))

    @Test
    fun `accepts an eviction within the budget`() {
        val job = placed("job-1")
        write(head(job))
        write(head(job.stop(listOf(0, 1))), ledger(TaskId("job-1", 0), TaskId("job-1", 1)))
        assertEquals(emptyList<String>(), checker.violations)
        assertEquals(1, checker.evictions.size)
    }

    @Test
    fun `reports a task that is stopped before it is charged to the ledger`() {
        val job = placed("job-1")
        write(head(job))
        write(head(job.stop(listOf(0))))
        assertTrue("without a ledger entry" in checker.violations.single(), checker.violations.toString())
    }

    @Test
    fun `reports two drains that overwrite each other's ledger entries`() {
        val jobs = listOf(placed("job-1"), placed("job-2"))
        write(*jobs.map(::head).toTypedArray())
        write(head(jobs[0].stop(listOf(0, 1))), ledger(TaskId("job-1", 0), TaskId("job-1", 1)))
        // The second eviction drops the ledger entries of the first.
        write(head(jobs[1].stop(listOf(0))), ledger(TaskId("job-2", 0)))
        assertTrue("unavailable, allowed" in checker.violations.single(), checker.violations.toString())
    }

    @Test
    fun `reports a ledger entry that is released while its task is still lost`() {
        val jobs = listOf(placed("job-1"), placed("job-2"))
        write(*jobs.map(::head).toTypedArray())
        write(head(jobs[0].stop(listOf(0, 1))), ledger(TaskId("job-1", 0), TaskId("job-1", 1)))
        write(head(jobs[0].free(listOf(0, 1)).interrupt(listOf(0, 1))), ledger())
        write(head(jobs[1].stop(listOf(0))), ledger(TaskId("job-2", 0)))
        assertTrue("unavailable, allowed" in checker.violations.single(), checker.violations.toString())
    }

    @Test
    fun `reports an eviction that exceeds the budget together with lost tasks`() {
        val jobs = listOf(placed("job-1"), placed("job-2"))
        write(*jobs.map(::head).toTypedArray())
        write(head(jobs[0].free(listOf(0, 1)).interrupt(listOf(0, 1))))
        assertEquals(emptyList<String>(), checker.violations)
        write(head(jobs[1].stop(listOf(0))), ledger(TaskId("job-2", 0)))
        assertTrue("unavailable, allowed" in checker.violations.single(), checker.violations.toString())
    }
}
