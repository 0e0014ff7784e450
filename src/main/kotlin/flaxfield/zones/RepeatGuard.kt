package flaxfield.zones

import flaxfield.jobs.Job
import flaxfield.jobs.TaskEvent

/**
 * Pure: keeps tasks that must run at most once from being started again while they may have finished, or may still run,
 * in a zone that was lost. Their records stay as they are until the zone reports their outcome or an operator abandons
 * them.
 */
class RepeatGuard(private val rules: ZoneRules, private val record: (String) -> ZoneRecord?) {
    /** Whether [event] must not be committed: it proves that the task is gone, but not whether it had finished. */
    fun mustDefer(job: Job, event: TaskEvent, zone: String): Boolean =
        event is TaskEvent.Lost && event.outcomeUnknown && isHeld(job, zone)

    /** Whether the tasks of [job] in [zone] may have finished there unreported, and must not be started again. */
    fun isHeld(job: Job, zone: String): Boolean {
        if (job.cancelled || !rules.forbidsRepeat(job.spec)) return false
        val zoneRecord = record(zone) ?: return false
        val isAffected = zoneRecord.isClosed || job.submittedMs < zoneRecord.endedMs
        return isAffected && !rules.isAbandoned(job, zone, zoneRecord.incarnation)
    }
}
