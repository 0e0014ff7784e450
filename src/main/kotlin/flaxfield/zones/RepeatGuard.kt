package flaxfield.zones

import flaxfield.jobs.Job
import flaxfield.jobs.TaskEvent

/**
 * Enforces at-most-once execution of tasks whose class forbids repeats. Such tasks are held, and not restarted, while
 * they may have finished, or may still run, in a zone that was lost. Their records stay unchanged until the zone
 * reports their outcome or an operator abandons them. Pure functions.
 */
class RepeatGuard(private val rules: ZoneRules, private val record: (String) -> ZoneRecord?) {
    /** Whether [event] must not be committed: it proves that the task has ended, but not whether it was completed. */
    fun mustDefer(job: Job, event: TaskEvent, zone: String): Boolean =
        event is TaskEvent.Lost && event.outcomeUnknown && isHeld(job, zone)

    /** Whether the tasks of [job] in [zone] may have finished there unreported, and must not be restarted. */
    fun isHeld(job: Job, zone: String): Boolean {
        if (job.cancelled || !rules.forbidsRepeat(job.spec)) return false
        val zoneRecord = record(zone) ?: return false
        val isAffected = zoneRecord.isClosed || job.submittedMs < zoneRecord.lossEndedMs
        return isAffected && !rules.isAbandoned(job, zone, zoneRecord.incarnation)
    }
}
