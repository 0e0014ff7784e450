package flaxfield.zones

import flaxfield.Samples
import flaxfield.drain.Capacity
import flaxfield.jobs.Job
import flaxfield.jobs.Priority
import flaxfield.jobs.TaskEvent
import flaxfield.quota.TeamUsage
import flaxfield.settings.Team
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class RecoveryOrderTest {
    private val teams = listOf(Samples.team("red", gpus = 4.0), Samples.team("blue", gpus = 2.0)).associateBy { it.name }

    private fun job(id: String, team: String, priority: Priority, submittedMs: Long, tasks: Int = 1): Job =
        Samples.job(Samples.spec(id = id, team = team, priority = priority, taskCount = tasks)).copy(submittedMs = submittedMs)

    private fun order(jobs: List<Job>, guaranteed: Set<String> = emptySet(), overdueBeforeMs: Long = 0, lossMs: Long = 0) =
        RecoveryOrder.sort(jobs, guaranteed, TeamUsage(emptyList(), teams), overdueBeforeMs, lossMs) { PriorityTiers.tier(it.spec) }.map { it.id }

    @Test
    fun `tiers first, then guarantees, then teams in turn by their share, then age, but what is late comes before all`() {
        val jobs = listOf(
            job("night", "red", Priority.IDLE, 1_000),
            job("within", "blue", Priority.STANDARD, 9_000),
            job("red-1", "red", Priority.STANDARD, 2_000, tasks = 4),
            job("red-2", "red", Priority.STANDARD, 3_000, tasks = 4),
            job("blue-1", "blue", Priority.STANDARD, 4_000, tasks = 2),
            job("blue-2", "blue", Priority.STANDARD, 5_000, tasks = 2),
            job("urgent", "blue", Priority.HIGH, 8_000),
        )
        assertEquals(listOf("urgent", "within", "red-1", "red-2", "blue-1", "blue-2", "night"), order(jobs, setOf("within")))
        assertEquals("night", order(jobs, setOf("within"), overdueBeforeMs = 1_500).first())
    }

    @Test
    fun `what was displaced waits since the loss, and is served before what came after it`() {
        val displaced = job("displaced", "red", Priority.STANDARD, 1_000).place(mapOf(0 to Job.Target("h", 1uL))).free(listOf(0))
        val jobs = listOf(displaced, job("before", "red", Priority.STANDARD, 4_000), job("after", "red", Priority.STANDARD, 6_000))
        assertEquals(listOf("before", "displaced", "after"), order(jobs, lossMs = 5_000))
    }

    @Test
    fun `fair parts are those of an exhaustive search on small cases`() {
        val random = Random(7)
        repeat(60) {
            val wants = listOf("red", "blue", "green").map { team ->
                TeamWant(team, Capacity(0.0, random.nextInt(0, 13).toDouble()), Samples.team(team, gpus = random.nextInt(1, 5).toDouble()))
            }
            val room = random.nextInt(1, 20)
            val targets = FairShares.targets(Capacity(100.0, room.toDouble()), wants)
            val found = search(room * GRAIN, wants)
            for ((n, w) in wants.withIndex()) assertEquals(found[n], targets.getValue(w.team).accelerators, 0.05, "$room $wants")
        }
    }

    /** Grains handed out one by one, each to the team with the least of its weight that still wants more. */
    private fun search(grains: Int, wants: List<TeamWant>): List<Double> {
        val got = IntArray(wants.size)
        repeat(grains) {
            val next = wants.indices.filter { got[it] < wants[it].want.accelerators * GRAIN }
                .minByOrNull { (got[it] + 1) / checkNotNull(wants[it].guarantee).gpus } ?: return@repeat
            got[next]++
        }
        return got.map { it.toDouble() / GRAIN }
    }

    @Test
    fun `both resources bind, and a team that is blocked leaves the rest to others`() {
        val wants = listOf(
            TeamWant("cpu", Capacity(10.0, 0.0), Team("cpu", 10.0, 0.0, 10.0, 0.0)),
            TeamWant("both", Capacity(10.0, 10.0), Team("both", 10.0, 0.0, 10.0, 0.0)),
        )
        val targets = FairShares.targets(Capacity(20.0, 4.0), wants)
        assertEquals(10.0, targets.getValue("cpu").cpus, 1e-6)
        assertEquals(4.0, targets.getValue("both").accelerators, 1e-6)
        assertEquals(0.5, TeamShare("both", Capacity(4.0, 4.0), Capacity(2.0, 4.0)).shortfall)
    }

    @Test
    fun `tasks that may have ended unheard in a lost zone are held back until they are abandoned`() {
        val rules = object : ZoneRules {
            var abandoned = false

            override fun tier(spec: flaxfield.jobs.JobSpec) = 0

            override fun forbidsRepeat(spec: flaxfield.jobs.JobSpec) = spec.jobClass == "deed"

            override fun isAbandoned(job: Job, zone: String, incarnation: Long) = abandoned
        }
        val deed = Samples.job(Samples.spec(id = "job-1", jobClass = "deed")).copy(submittedMs = 5_000)
        val unknown = TaskEvent.Lost("job-1", 0, 1, "host-1", "tenure 2", failed = false, outcomeUnknown = true)
        val known = unknown.copy(reason = "error", outcomeUnknown = false)
        val base = ZoneRecord.healthy("a", 0).copy(incarnation = 1)
        fun held(record: ZoneRecord?, event: TaskEvent = unknown, job: Job = deed) =
            RepeatGuard(rules) { record }.mustDefer(job, event, "a")
        for (state in listOf(ZoneState.SUSPECT, ZoneState.LOST)) assertTrue(held(base.copy(state = state)), "$state")
        // Submitted before the loss ended: its task may have run then, whatever the zone is now.
        assertTrue(held(base.copy(endedMs = 6_000)))
        assertFalse(held(base.copy(endedMs = 4_000)))
        assertFalse(held(null))
        assertFalse(held(base.copy(state = ZoneState.LOST), known))
        assertFalse(held(base.copy(state = ZoneState.LOST), job = deed.copy(cancelledMs = 1)))
        assertFalse(held(base.copy(state = ZoneState.LOST), job = Samples.job(Samples.spec(id = "job-1")).copy(submittedMs = 5_000)))
        rules.abandoned = true
        assertFalse(held(base.copy(state = ZoneState.LOST)))
    }

    private companion object {
        const val GRAIN = 240
    }
}
