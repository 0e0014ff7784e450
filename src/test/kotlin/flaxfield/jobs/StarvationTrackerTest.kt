package flaxfield.jobs

import flaxfield.Samples
import flaxfield.Samples.on
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class StarvationTrackerTest {
    @Test
    fun `a job is starved once it had nothing on any machine for most of 90 s`() {
        val tracker = StarvationTracker()
        val job = Samples.job()
        val mistaken = Samples.job().copy(failedMachines = listOf("h1", "h2"), failureCount = 2)
        tracker.update(listOf(job), 0)
        val table = listOf(
            Triple("not yet", job to 54_000L, false),
            Triple("long", job to 54_001L, true),
            Triple("never seen to wait", Samples.job(Samples.spec(id = "job-2")) to 99_000L, false),
            Triple("a mistake is never starved", mistaken to 99_000L, false),
        )
        for ((what, asked, want) in table) assertEquals(want, tracker.isStarved(asked.first, asked.second), what)
        // A placement that is taken back within a second, with its machine, has run nothing: the job goes on waiting.
        tracker.update(listOf(job.on(0 to "h")), 60_000)
        assertEquals(false, tracker.isStarved(job.on(0 to "h"), 60_500), "placed now")
        tracker.update(listOf(job), 61_000)
        assertEquals(true, tracker.isStarved(job, 62_000))
        // Something of it has run meanwhile: its wait starts anew.
        tracker.update(listOf(job.on(0 to "h")), 65_000)
        tracker.update(listOf(job.on(0 to "h")), 78_501)
        tracker.update(listOf(job), 79_000)
        assertEquals(false, tracker.isStarved(job, 133_000))
        assertEquals(true, tracker.isStarved(job, 133_001))
        // Long at its team's limit, with nothing pending or cancelled: it does not wait.
        tracker.update(listOf(job.copy(cancelledMs = 1)), 62_000)
        assertEquals(false, tracker.isStarved(job, 999_000))
    }
}
