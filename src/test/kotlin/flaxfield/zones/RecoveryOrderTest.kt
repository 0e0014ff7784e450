package flaxfield.zones

import flaxfield.Samples
import flaxfield.jobs.Job
import flaxfield.jobs.Priority
import flaxfield.quota.TeamUsage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class RecoveryOrderTest {
    private val teams = listOf(Samples.team("red", gpus = 4.0), Samples.team("blue", gpus = 2.0))
        .associateBy { it.name }

    private fun job(id: String, team: String, priority: Priority, submittedMs: Long, tasks: Int = 1): Job {
        val spec = Samples.spec(id = id, team = team, priority = priority, taskCount = tasks)
        return Samples.job(spec).copy(submittedMs = submittedMs)
    }

    private fun order(jobs: List<Job>, guaranteed: Set<String> = emptySet(), overdueBeforeMs: Long = 0, lossMs: Long = 0): List<String> {
        val usage = TeamUsage(emptyList(), teams)
        return RecoveryOrder.sort(jobs, guaranteed, usage, overdueBeforeMs, lossMs) { PriorityTiers.tier(it.spec) }
            .map { it.id }
    }

    @Test
    fun `sorts overdue jobs first, then by tier, guarantee, team share and age`() {
        val jobs = listOf(
            job("idle", "red", Priority.IDLE, 1_000),
            job("within-guarantee", "blue", Priority.STANDARD, 9_000),
            job("red-1", "red", Priority.STANDARD, 2_000, tasks = 4),
            job("red-2", "red", Priority.STANDARD, 3_000, tasks = 4),
            job("blue-1", "blue", Priority.STANDARD, 4_000, tasks = 2),
            job("blue-2", "blue", Priority.STANDARD, 5_000, tasks = 2),
            job("urgent", "blue", Priority.HIGH, 8_000),
        )
        assertEquals(
            listOf("urgent", "within-guarantee", "red-1", "red-2", "blue-1", "blue-2", "idle"),
            order(jobs, setOf("within-guarantee")),
        )
        assertEquals("idle", order(jobs, setOf("within-guarantee"), overdueBeforeMs = 1_500).first())
    }

    @Test
    fun `the age of displaced jobs counts from the loss`() {
        val displaced = job("displaced", "red", Priority.STANDARD, 1_000)
            .place(mapOf(0 to Job.Target("h", 1uL)))
            .free(listOf(0))
        val before = job("before", "red", Priority.STANDARD, 4_000)
        val after = job("after", "red", Priority.STANDARD, 6_000)
        val jobs = listOf(displaced, before, after)
        assertEquals(listOf("before", "displaced", "after"), order(jobs, lossMs = 5_000))
    }
}
