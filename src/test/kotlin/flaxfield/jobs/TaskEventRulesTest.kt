package flaxfield.jobs

import flaxfield.Samples
import flaxfield.Samples.on
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class TaskEventRulesTest {
    @Test
    fun `an event applies only if its attempt is recorded`() {
        val job = Samples.job().on(0 to "host-1", 1 to "host-1")
        assertSame(job, TaskEventRules.apply(job, listOf(TaskEvent.Completed("job-1", 0, 99)), 0, 0))
        assertTrue(TaskEventRules.apply(job, listOf(TaskEvent.Completed("job-1", 0, 1)), 0, 0).isDone(0))
        val next = TaskEventRules.apply(job, listOf(TaskEvent.Lost("job-1", 1, 1, "host-1", "stopped", false)), 0, 0)
        assertNull(next.placed(1))
        assertFalse(next.isDone(1))
        assertEquals(0, next.failureCount)
    }

    @Test
    fun `one completed task completes a gang and one lost task stops it`() {
        val gang = Samples.job(Samples.spec(jobKind = JobKind.GANG, taskCount = 3))
            .on(0 to "host-1", 1 to "host-2", 2 to "host-3")
        assertTrue(TaskEventRules.apply(gang, listOf(TaskEvent.Completed("job-1", 1, 1)), 0, 0).complete)
        val lost = TaskEvent.Lost("job-1", 1, 1, "host-2", "mates_gone", false)
        val afterLoss = TaskEventRules.apply(gang, listOf(lost), 0, 0)
        assertEquals(listOf(true, true), afterLoss.allPlaced().map { it.stopping }.toList())
    }

    @Test
    fun `a job that fails on one machine after another backs off`() {
        var job = Samples.job(Samples.spec(taskCount = 1))
        val delaysMs = (1..9).map { n ->
            job =
                TaskEventRules.apply(
                    job.on(0 to "host-$n"),
                    listOf(TaskEvent.Lost("job-1", 0, job.chunk(0).nextAttempt, "host-$n", "error", true)),
                    1_000,
                    100,
                )
            if (job.retryAtMs == 0L) 0 else job.retryAtMs - 1_000
        }
        assertEquals(listOf<Long>(0, 100, 200, 400, 800, 1600, 3200, 3200, 3200), delaysMs)
        assertEquals(8, job.failedMachines.size)
        assertEquals(job.failedMachines.toSet(), job.excludedMachines(1_000 + Job.MACHINE_EXCLUSION_MS - 1))
        assertEquals(emptySet<String>(), job.excludedMachines(1_000 + Job.MACHINE_EXCLUSION_MS))
    }
}
