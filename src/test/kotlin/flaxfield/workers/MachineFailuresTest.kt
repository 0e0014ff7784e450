package flaxfield.workers

import flaxfield.NANOS_PER_MILLI
import flaxfield.jobs.Job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** A defective job must not lead to the return of the machines that it fails on. */
class MachineFailuresTest {
    private fun evaluate(failed: Map<String, Long>, nowNs: Long, elsewhere: Map<String, List<String>?>): FaultVerdict =
        failed.entries.fold(MachineFailures()) { failures, (job, atNs) -> failures.plusFailure(job, atNs) }
            .evaluate("h", nowNs) { id -> elsewhere[id]?.let { MachineFailures.JobRetry(it + "h", durationNs = 100) } }

    @Test
    fun `attributes failures to the machine or to the job`() {
        val none = emptyList<String>()
        val table = listOf(
            Triple(emptyMap<String, Long>(), emptyMap<String, List<String>?>(), 50L) to FaultVerdict.NONE,
            Triple(mapOf("a" to 0L), mapOf("a" to none), 50L) to FaultVerdict.SUSPECT,
            // The job had enough time to fail elsewhere and did not.
            Triple(mapOf("a" to 0L), mapOf("a" to none), 101L) to FaultVerdict.FAULTY,
            Triple(mapOf("a" to 0L, "b" to 1L), mapOf("a" to none, "b" to none), 2L) to FaultVerdict.FAULTY,
            // Any number of jobs that fail elsewhere too prove nothing about this machine.
            Triple(mapOf("a" to 0L), mapOf("a" to listOf("g")), 500L) to FaultVerdict.NONE,
            Triple(mapOf("a" to 0L, "b" to 1L), mapOf("a" to listOf("g"), "b" to listOf("k")), 500L) to
                FaultVerdict.NONE,
            Triple(mapOf("a" to 0L, "b" to 1L), mapOf("a" to listOf("g"), "b" to none), 50L) to FaultVerdict.SUSPECT,
            // The job was cancelled in the meantime.
            Triple(mapOf("a" to 0L), mapOf("a" to null), 500L) to FaultVerdict.NONE,
        )
        for ((row, expected) in table) assertEquals(expected, evaluate(row.first, row.third, row.second), "$row")
    }

    @Test
    fun `counts only the first failure of a job and limits the number of tracked jobs`() {
        var failures = MachineFailures()
        repeat(50) { failures = failures.plusFailure("job-${it % 20}", it.toLong()) }
        var lookups = 0
        failures.evaluate("h", 60) {
            lookups++
            null
        }
        assertEquals(8, lookups)
        assertEquals(
            FaultVerdict.FAULTY,
            MachineFailures().plusFailure("a", 0).plusFailure("a", 90).evaluate("h", 101) {
                MachineFailures.JobRetry(listOf("h"), 100)
            },
        )
    }

    /** Guards against a machine that stays suspect for longer than a job may wait, with a large image and a full cloud. */
    @Test
    fun `a job without another machine is retried on the same one`() {
        val endNs = Job.MACHINE_EXCLUSION_MS * NANOS_PER_MILLI
        fun verdict(failures: MachineFailures, nowNs: Long, isPlacedElsewhere: Boolean = false) =
            failures.evaluate("h", nowNs) { MachineFailures.JobRetry(listOf("h"), 4 * endNs, isPlacedElsewhere) }
        val once = MachineFailures().plusFailure("a", 0).plusFailure("a", endNs - 1)
        assertEquals(FaultVerdict.SUSPECT, verdict(once, endNs - 1))
        assertEquals(FaultVerdict.ON_PROBATION, verdict(once, endNs))
        assertEquals(FaultVerdict.SUSPECT, verdict(once, endNs, isPlacedElsewhere = true))
        assertEquals(FaultVerdict.FAULTY, verdict(once.plusFailure("a", endNs), endNs))
    }
}
