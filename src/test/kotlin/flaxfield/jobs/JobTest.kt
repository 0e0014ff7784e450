package flaxfield.jobs

import flaxfield.Samples
import flaxfield.Samples.on
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class JobTest {
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
    fun `a job that fails everywhere and completes nothing is taken for a mistake`() {
        fun failed(job: Job, machines: Int, times: Int) = job.copy(failedMachines = List(machines) { "host-$it" }, failureCount = times)
        val job = Samples.job()
        val table = listOf(
            job to false,
            failed(job, 1, 9) to false,
            failed(job, 2, 2) to true,
            // It is on more machines than it failed on, or has completed something: the machines were faulty.
            failed(job.on(0 to "a", 1 to "b"), 2, 2) to false,
            failed(job.on(0 to "a").finish(listOf(0)), 2, 9) to false,
        )
        for ((sample, want) in table) assertEquals(want, sample.isCrashLooping, "$sample")
        // All other jobs come first; but if its retry is long overdue, it is scheduled as any other.
        assertTrue(failed(job, 2, 2).copy(retryAtMs = 500).isDeprioritized(overdueBeforeMs = 400))
        assertFalse(failed(job, 2, 2).copy(retryAtMs = 300).isDeprioritized(overdueBeforeMs = 400))
        val done = failed(job.on(0 to "a", 1 to "b"), 3, 3).finish(listOf(0))
        val lost = TaskEvent.Lost("job-1", 1, 1, "b", "error", true)
        assertEquals(0, TaskEventRules.apply(done, listOf(lost), 1_000, 100).retryAtMs)
    }
}
