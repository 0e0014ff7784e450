package flaxfield.quota

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class TeamUsageTest {
    private val teams = listOf(Samples.team("red", gpus = 2.0, gpusMax = 4.0), Samples.team("blue")).associateBy {
        it.name
    }

    @Test
    fun `a record counts against the limit until its task is proven to have terminated`() {
        val job = Samples.job(
            Samples.spec(id = "job-1", team = "red", taskCount = 4),
        ).on(0 to "h", 1 to "h", 2 to "h")
        val usage = TeamUsage(listOf(job.stop(listOf(0))), teams)
        assertEquals(1, usage.remainingTasks("red", job.spec.taskResources))
        assertEquals(0, usage.remainingTasks("red", job.spec.taskResources, reserved = Resources(0.0, 1.0, 0.0)))
        assertEquals(Int.MAX_VALUE, usage.remainingTasks("blue", job.spec.taskResources))
        assertEquals(0, usage.remainingTasks("unknown", job.spec.taskResources))
    }
}
