package flaxfield.jobs

import flaxfield.Samples
import flaxfield.Samples.on
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class StarvationTrackerTest {
    @Test
    fun `a job is starved after it had no task on any machine for most of 90 s`() {
        val tracker = StarvationTracker()
        val job = Samples.job()
        val crashLooping = Samples.job().copy(failedMachines = listOf("h1", "h2"), failureCount = 2)
        tracker.update(listOf(job), 0)
        val table = listOf(
            Triple("at the threshold", job to 54_000L, false),
            Triple("beyond the threshold", job to 54_001L, true),
            Triple("not tracked", Samples.job(Samples.spec(id = "job-2")) to 99_000L, false),
            Triple("crash-looping", crashLooping to 99_000L, false),
        )
        for ((name, query, expected) in table) {
            assertEquals(expected, tracker.isStarved(query.first, query.second), name)
        }
        // No task has run on a placement that is withdrawn within a second, so the job continues to wait.
        tracker.update(listOf(job.on(0 to "h")), 60_000)
        assertEquals(false, tracker.isStarved(job.on(0 to "h"), 60_500), "placed now")
        tracker.update(listOf(job), 61_000)
        assertEquals(true, tracker.isStarved(job, 62_000))
        // A task has run meanwhile, so the wait starts again.
        tracker.update(listOf(job.on(0 to "h")), 65_000)
        tracker.update(listOf(job.on(0 to "h")), 78_501)
        tracker.update(listOf(job), 79_000)
        assertEquals(false, tracker.isStarved(job, 133_000))
        assertEquals(true, tracker.isStarved(job, 133_001))
        // A cancelled job does not wait.
        tracker.update(listOf(job.copy(cancelledMs = 1)), 62_000)
        assertEquals(false, tracker.isStarved(job, 999_000))
    }
}
