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
    fun `holds tasks that may have finished unreported in a lost zone until they are abandoned`() {
        val rules = object : ZoneRules {
            var abandoned = false

            override fun tier(spec: JobSpec) = 0

            override fun forbidsRepeat(spec: JobSpec) = spec.jobClass == "at-most-once"

            override fun isAbandoned(job: Job, zone: String, incarnation: Long) = abandoned
        }
        val atMostOnceJob = Samples.job(Samples.spec(id = "job-1", jobClass = "at-most-once")).copy(submittedMs = 5_000)
        val unknownOutcome = TaskEvent.Lost("job-1", 0, 1, "host-1", "tenure 2", failed = false, outcomeUnknown = true)
        val knownOutcome = unknownOutcome.copy(reason = "error", outcomeUnknown = false)
        val base = ZoneRecord.healthy("a", 0).copy(incarnation = 1)
        fun isHeld(record: ZoneRecord?, event: TaskEvent = unknownOutcome, job: Job = atMostOnceJob) =
            RepeatGuard(rules) { record }.mustDefer(job, event, "a")
        for (state in listOf(ZoneState.SUSPECT, ZoneState.LOST)) assertTrue(isHeld(base.copy(state = state)), "$state")
        // Submitted before the loss ended: the task may have run during the loss, regardless of the current state.
        assertTrue(isHeld(base.copy(lossEndedMs = 6_000)))
        assertFalse(isHeld(base.copy(lossEndedMs = 4_000)))
        assertFalse(isHeld(null))
        assertFalse(isHeld(base.copy(state = ZoneState.LOST), knownOutcome))
        assertFalse(isHeld(base.copy(state = ZoneState.LOST), job = atMostOnceJob.copy(cancelledMs = 1)))
        val repeatable = Samples.job(Samples.spec(id = "job-1")).copy(submittedMs = 5_000)
        assertFalse(isHeld(base.copy(state = ZoneState.LOST), job = repeatable))
        rules.abandoned = true
        assertFalse(isHeld(base.copy(state = ZoneState.LOST)))
    }
}
