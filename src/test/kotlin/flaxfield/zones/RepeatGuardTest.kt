package flaxfield.zones

import flaxfield.Samples
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec
import flaxfield.jobs.TaskEvent
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class RepeatGuardTest {
    @Test
    fun `tasks that may have finished unreported in a lost zone are held until they are abandoned`() {
        val rules = object : ZoneRules {
            var abandoned = false

            override fun tier(spec: JobSpec) = 0

            override fun forbidsRepeat(spec: JobSpec) = spec.jobClass == "deed"

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
        val repeatable = Samples.job(Samples.spec(id = "job-1")).copy(submittedMs = 5_000)
        assertFalse(held(base.copy(state = ZoneState.LOST), job = repeatable))
        rules.abandoned = true
        assertFalse(held(base.copy(state = ZoneState.LOST)))
    }
}
