package flaxfield.arrays

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.jobs.Priority
import flaxfield.store.PlacedTask
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class EvictionOrderTest {
    private fun task(id: String, atMs: Long, checkpoints: Boolean, priority: Priority = Priority.IDLE): PlacedTask {
        val job = Samples.job(
            Samples.spec(id = id, checkpointIntervalS = if (checkpoints) 5.0 else 0.0, priority = priority),
            atMs,
        ).on(
            0 to "h",
        )
        return PlacedTask(job, checkNotNull(job.placed(0)))
    }

    @Test
    fun `tasks are evicted by lowest priority, then with checkpoints first, then latest first`() {
        val tasks = listOf(
            task("job-1", 10, checkpoints = true, priority = Priority.STANDARD),
            task("job-2", 40, checkpoints = false),
            task("job-3", 20, checkpoints = true),
            task("job-4", 30, checkpoints = true),
            task("job-5", 50, checkpoints = false, priority = Priority.STANDARD),
        )
        assertEquals(
            listOf("job-4", "job-3", "job-2", "job-1", "job-5"),
            tasks.sortedWith(EvictionOrder).map {
                it.job.id
            },
        )
    }
}
