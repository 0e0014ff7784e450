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
    fun `a record counts against the limit until proof that its task has left`() {
        val three = Samples.job(
            Samples.spec(id = "job-1", team = "red", taskCount = 4),
        ).on(0 to "h", 1 to "h", 2 to "h")
        val use = TeamUsage(listOf(three.stop(listOf(0))), teams)
        assertEquals(1, use.remainingTasks("red", three.spec.taskResources))
        assertEquals(0, use.remainingTasks("red", three.spec.taskResources, kept = Resources(0.0, 1.0, 0.0)))
        assertEquals(Int.MAX_VALUE, use.remainingTasks("blue", three.spec.taskResources))
        assertEquals(0, use.remainingTasks("nobody", three.spec.taskResources))
    }
}
