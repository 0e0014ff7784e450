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
    fun `an overdue job precedes every order`() {
        // Neither a guarantee, nor priority, nor a team's share may starve a job for ever.
        val old = Samples.job(Samples.spec(id = "job-9", priority = Priority.IDLE), atMs = 1)
        val urgent = Samples.job(Samples.spec(id = "job-1", priority = Priority.PROD), atMs = 500)
        val use = TeamUsage(emptyList(), emptyMap())
        fun order(late: Long, jobs: List<Job>) = JobOrder.sort(jobs, setOf("job-1"), use, late).map { it.id }
        assertEquals(listOf("job-1", "job-9"), order(1, listOf(old, urgent)))
        assertEquals(listOf("job-9", "job-1"), order(2, listOf(old, urgent)))
        assertEquals(listOf("job-1", "job-9"), order(2, listOf(old.on(0 to "h"), urgent)), "it has begun")
    }

    @Test
    fun `guaranteed are the earliest unfinished jobs that fit together`() {
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
    fun `the order is guarantee, priority, share, age`() {
        val busy = job("job-9", "red", taskCount = 4).on(0 to "h")
        val jobs = listOf(
            job("job-5", "blue", at = 1),
            job("job-4", "red", at = 0),
            job("job-3", "blue", at = 0),
            job("job-2", "red", at = 9, priority = Priority.PROD),
            job("job-1", "red", at = 10),
        )
        val order = JobOrder.sort(jobs, setOf("job-1"), TeamUsage(listOf(busy), teams)).map { it.id }
        assertEquals(listOf("job-1", "job-2", "job-3", "job-5", "job-4"), order)
    }

    @Test
    fun `a class without an objective comes after those with one, and failing jobs after all`() {
        // A team that uses little has the smallest share; without this its idle work would precede everyone else's.
        fun of(id: String, jobClass: String, at: Long) = job(id, "blue", at = at).let { it.copy(spec = it.spec.copy(jobClass = jobClass)) }
        val failing = of("job-4", "score", 0).copy(failedMachines = listOf("g", "h"), failureCount = 2, retryAtMs = 5)
        val jobs =
            listOf(
                failing,
                of("job-3", "idle", 0),
                of("job-2", "score", 1),
                job("job-1", "red", at = 2, priority = Priority.HIGH),
            )
        val use = TeamUsage(emptyList(), teams)
        assertEquals(
            listOf("job-1", "job-2", "job-3", "job-4"),
            JobOrder.sort(jobs, emptySet(), use) { it == "score" || it == "class" }.map { it.id },
        )
        // An overdue job comes first whatever its class, unless it repeatedly fails.
        assertEquals("job-3", JobOrder.sort(jobs, emptySet(), use, overdueBeforeMs = 1) { it == "score" }.first().id)
    }

    @Test
    fun `preemption only as the rules allow`() {
        val low = job("job-1", "red", taskCount = 4).on(0 to "h", 1 to "h", 2 to "h")
        val use = TeamUsage(listOf(low), teams)
        val table = listOf(
            Triple(job("job-2", "blue", priority = Priority.HIGH), false, true),
            Triple(job("job-2", "blue"), false, false),
            Triple(job("job-2", "blue"), true, true),
            Triple(job("job-2", "red"), true, false),
        )
        for ((who, guaranteed, may) in table) {
            assertEquals(
                may,
                JobOrder.mayPreempt(who, guaranteed, low, use),
                "$who $guaranteed",
            )
        }
        val within = TeamUsage(listOf(job("job-1", taskCount = 4).on(0 to "h")), teams)
        assertEquals(false, JobOrder.mayPreempt(job("job-2", "blue"), true, low, within))
    }
}
