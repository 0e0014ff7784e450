package flaxfield.zones

import flaxfield.jobs.Job
import flaxfield.jobs.TaskEvent

/**
 * Pure: keeps tasks that must not be repeated from being started again while they may have ended, or may still run, in
 * a zone that was lost. Their records stay where they are; a final word from the zone settles them, or an operator's
 * order.
 */
class RepeatGuard(private val rules: ZoneRules, private val record: (String) -> ZoneRecord?) {
    /** Whether [event] must be left alone: it proves that the task is gone, and not whether it had ended. */
    fun mustDefer(job: Job, event: TaskEvent, zone: String): Boolean =
        event is TaskEvent.Lost && event.outcomeUnknown && isHeld(job, zone)

    /** Whether what [job] has in [zone] may have ended there unheard, and must not be started again. */
    fun isHeld(job: Job, zone: String): Boolean {
        if (job.cancelled || !rules.forbidsRepeat(job.spec)) return false
        val r = record(zone) ?: return false
        val affected = r.closed || job.submittedMs < r.endedMs
        return affected && !rules.isAbandoned(job, zone, r.incarnation)
    }
}
