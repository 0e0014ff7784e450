package flaxfield.drain

import flaxfield.jobs.Placement
import flaxfield.workers.AttemptId
import flaxfield.workers.Heartbeat
import flaxfield.workers.TaskState

/** Decides whether a heartbeat proves that a task runs on the machine recorded in its placement. Pure. */
internal object RunningTaskProof {
    /** Returns whether [heartbeat] was sent under [term] and reports the attempt of [placement] of [job] as running. */
    fun isGivenBy(heartbeat: Heartbeat?, job: String, placement: Placement, term: ULong): Boolean = heartbeat != null &&
        heartbeat.machineName == placement.machineName &&
        heartbeat.fencingToken == term &&
        heartbeat.incarnation == placement.incarnation &&
        heartbeat.task(AttemptId(job, placement.index, placement.attempt.toULong()))?.state == TaskState.RUNNING
}
