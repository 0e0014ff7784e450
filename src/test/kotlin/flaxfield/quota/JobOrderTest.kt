package flaxfield.quota

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.jobs.Job
import flaxfield.jobs.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class JobOrderTest {
    private val teams = listOf(Samples.team("red", gpus = 2.0, gpusMax = 4.0), Samples.team("blue")).associateBy {
        it.name
    }

    private fun job(id: String, team: String = "red", taskCount: Int = 1, at: Long = 0, priority: Priority = Priority.IDLE): Job =
        Samples.job(Samples.spec(id = id, team = team, taskCount = taskCount, priority = priority), atMs = at)

    @Test
    fun `a job that is overdue and has not started precedes all others`() {
        // Otherwise guarantees, priorities and team shares could starve a job.
        val old = Samples.job(Samples.spec(id = "job-9", priority = Priority.IDLE), atMs = 1)
        val urgent = Samples.job(Samples.spec(id = "job-1", priority = Priority.PROD), atMs = 500)
        val usage = TeamUsage(emptyList(), emptyMap())
        fun order(overdueBeforeMs: Long, jobs: List<Job>) = JobOrder.sort(jobs, setOf("job-1"), usage, overdueBeforeMs).map { it.id }
        assertEquals(listOf("job-1", "job-9"), order(1, listOf(old, urgent)))
        assertEquals(listOf("job-9", "job-1"), order(2, listOf(old, urgent)))
        assertEquals(listOf("job-1", "job-9"), order(2, listOf(old.on(0 to "h"), urgent)), "a job that has started is not overdue")
    }

    @Test
    fun `the earliest unfinished jobs that fit into the guarantee together are guaranteed`() {
        val jobs =
            listOf(
                job("job-3", at = 3),
                job("job-1", at = 1),
                job("job-2", at = 2, taskCount = 2),
                job("job-4", "blue"),
            )
        assertEquals(setOf("job-1"), JobOrder.guaranteed(jobs, teams))
        assertEquals(setOf("job-1", "job-3"), JobOrder.guaranteed(jobs.filter { it.id != "job-2" }, teams))
    }

    @Test
    fun `jobs are ordered by guarantee, priority, team share and age`() {
        val running = job("job-9", "red", taskCount = 4).on(0 to "h")
        val jobs = listOf(
            job("job-5", "blue", at = 1),
            job("job-4", "red", at = 0),
            job("job-3", "blue", at = 0),
            job("job-2", "red", at = 9, priority = Priority.PROD),
            job("job-1", "red", at = 10),
        )
        val order = JobOrder.sort(jobs, setOf("job-1"), TeamUsage(listOf(running), teams)).map { it.id }
        assertEquals(listOf("job-1", "job-2", "job-3", "job-5", "job-4"), order)
    }

    @Test
    fun `classes without an objective come after those with one, and failing jobs last`() {
        // Otherwise the idle jobs of a team that uses little, and so has the smallest share, would precede all others.
        fun jobOfClass(id: String, jobClass: String, at: Long) =
            job(id, "blue", at = at).let { it.copy(spec = it.spec.copy(jobClass = jobClass)) }
        val failing = jobOfClass("job-4", "score", 0).copy(failedMachines = listOf("g", "h"), failureCount = 2, retryAtMs = 5)
        val jobs =
            listOf(
                failing,
                jobOfClass("job-3", "idle", 0),
                jobOfClass("job-2", "score", 1),
                job("job-1", "red", at = 2, priority = Priority.HIGH),
            )
        val usage = TeamUsage(emptyList(), teams)
        assertEquals(
            listOf("job-1", "job-2", "job-3", "job-4"),
            JobOrder.sort(jobs, emptySet(), usage) { it == "score" || it == "class" }.map { it.id },
        )
        // An overdue job comes first regardless of its class, unless it repeatedly fails.
        assertEquals("job-3", JobOrder.sort(jobs, emptySet(), usage, overdueBeforeMs = 1) { it == "score" }.first().id)
    }

    @Test
    fun `a job may preempt by priority, or within its guarantee a team that exceeds its own`() {
        val low = job("job-1", "red", taskCount = 4).on(0 to "h", 1 to "h", 2 to "h")
        val usage = TeamUsage(listOf(low), teams)
        val rows = listOf(
            Triple(job("job-2", "blue", priority = Priority.HIGH), false, true),
            Triple(job("job-2", "blue"), false, false),
            Triple(job("job-2", "blue"), true, true),
            Triple(job("job-2", "red"), true, false),
        )
        for ((preemptor, isGuaranteed, expected) in rows) {
            assertEquals(
                expected,
                JobOrder.mayPreempt(preemptor, isGuaranteed, low, usage),
                "$preemptor, guaranteed: $isGuaranteed",
            )
        }
        val withinGuarantee = TeamUsage(listOf(job("job-1", taskCount = 4).on(0 to "h")), teams)
        assertEquals(false, JobOrder.mayPreempt(job("job-2", "blue"), true, low, withinGuarantee))
    }
}
