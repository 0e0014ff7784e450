package flaxfield.workers

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** A job submitted with a mistake must not cost the machines it is tried on. */
class MachineFailuresTest {
    private fun judge(failed: Map<String, Long>, nowNs: Long, elsewhere: Map<String, List<String>?>): FaultVerdict =
        failed.entries.fold(MachineFailures()) { failures, (job, atNs) -> failures.failed(job, atNs) }
            .judge("h", nowNs) { id -> elsewhere[id]?.let { MachineFailures.RetryTrial(it + "h", durationNs = 100) } }

    @Test
    fun `machines are judged by different jobs, jobs by different machines`() {
        val none = emptyList<String>()
        val table = listOf(
            Triple(emptyMap<String, Long>(), emptyMap<String, List<String>?>(), 50L) to FaultVerdict.NONE,
            Triple(mapOf("a" to 0L), mapOf("a" to none), 50L) to FaultVerdict.SUSPECT,
            // It has had the time to fail elsewhere, and did not.
            Triple(mapOf("a" to 0L), mapOf("a" to none), 101L) to FaultVerdict.FAULTY,
            Triple(mapOf("a" to 0L, "b" to 1L), mapOf("a" to none, "b" to none), 2L) to FaultVerdict.FAULTY,
            // Jobs that fail elsewhere as well say nothing of this machine, however many they are.
            Triple(mapOf("a" to 0L), mapOf("a" to listOf("g")), 500L) to FaultVerdict.NONE,
            Triple(mapOf("a" to 0L, "b" to 1L), mapOf("a" to listOf("g"), "b" to listOf("k")), 500L) to
                FaultVerdict.NONE,
            Triple(mapOf("a" to 0L, "b" to 1L), mapOf("a" to listOf("g"), "b" to none), 50L) to FaultVerdict.SUSPECT,
            // Cancelled meanwhile: its user has seen the mistake.
            Triple(mapOf("a" to 0L), mapOf("a" to null), 500L) to FaultVerdict.NONE,
        )
        for ((row, want) in table) assertEquals(want, judge(row.first, row.third, row.second), "$row")
    }

    @Test
    fun `the first failure of a job counts, not its last, and few are kept`() {
        var failures = MachineFailures()
        repeat(50) { failures = failures.failed("job-${it % 20}", it.toLong()) }
        var asked = 0
        failures.judge("h", 60) {
            asked++
            null
        }
        assertEquals(8, asked)
        assertEquals(
            FaultVerdict.FAULTY,
            MachineFailures().failed("a", 0).failed("a", 90).judge("h", 101) {
                MachineFailures.RetryTrial(listOf("h"), 100)
            },
        )
    }
}
