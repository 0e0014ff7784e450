package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.TaskEventCommitter
import flaxfield.net.Responder
import org.slf4j.LoggerFactory

/**
 * Handles heartbeats of machines in this controller's shard: records what the worker reports, reconciles it with the
 * task records, and responds with the commands that follow.
 */
internal class OwnedHeartbeatHandler(
    private val context: ControllerContext,
    private val taskEvents: TaskEventCommitter,
    private val workerHealth: WorkerHealth,
    private val haltDispatcher: HaltDispatcher,
    private val responses: HeartbeatResponder,
) {
    private val adopter = UnknownMachineAdopter(context, workerHealth)
    private val leaseNs = context.settings.workers.leaseS * NANOS_PER_SECOND

    /** Handles [heartbeat] under the current [term]; a copy of an older one leads to no decision. */
    fun handle(heartbeat: Heartbeat, workerState: WorkerState, term: ULong, responder: Responder) {
        // This process's lease may be over while another controller acts under a newer term: no decisions. The
        // bound on the view's age limits for how long.
        if (!context.leadership.leaseValid()) return responses.renewWithoutDecision(heartbeat, term, responder)
        val previous = workerState.heartbeat
        if (previous != null && !heartbeat.newerThan(previous.incarnation, previous.sequenceNumber)) {
            return responses.renewWithoutDecision(heartbeat, term, responder)
        }
        record(heartbeat, workerState, term)
        if (startsIncarnationOrNotice(previous, heartbeat)) announce(heartbeat, term)
        val machine = context.view.machines[heartbeat.machineName]
        if (machine == null) {
            // A late copy may come from a machine that is long gone: only a worker that knows our term is adopted.
            if (heartbeat.fencingToken == term) adopter.adopt(heartbeat)
            return responses.renewWithoutDecision(heartbeat, term, responder)
        }
        recordImages(heartbeat, workerState)
        if (log.isDebugEnabled) logStateChanges(previous, heartbeat)
        if (heartbeat.terminationNoticeS != null) haltDispatcher.stopForTerminationNotice(heartbeat, term)
        val commands = reconcile(heartbeat, workerState, machine, term)
        responses.renew(heartbeat, workerState, term, commands, responder)
    }

    private fun record(heartbeat: Heartbeat, workerState: WorkerState, term: ULong) {
        workerState.reachability = workerState.reachability.reported(heartbeat, term, context.nowNs, leaseNs)
        if (workerState.reachability.isUnreachable) workerHealth.markUnreachable(workerState)
        if (workerState.heartbeat == null) workerState.firstHeartbeatNs = context.nowNs
        workerState.heartbeat = heartbeat
        // Under an older term it may be a late copy, which is no sign of life. Our response brings the worker the
        // term, and it reports again at once.
        if (heartbeat.fencingToken == term) workerHealth.recordSignOfLife(workerState, heartbeat.zone)
    }

    private fun startsIncarnationOrNotice(previous: Heartbeat?, current: Heartbeat): Boolean = previous == null ||
        previous.incarnation != current.incarnation ||
        previous.terminationNoticeS == null != (current.terminationNoticeS == null)

    private fun announce(heartbeat: Heartbeat, term: ULong) {
        log.info(
            "event=worker_reports term={} machine={} incarnation={} termination_notice_s={}",
            term,
            heartbeat.machineName,
            heartbeat.incarnation,
            heartbeat.terminationNoticeS,
        )
        context.decisions.request()
    }

    private fun reconcile(
        heartbeat: Heartbeat,
        workerState: WorkerState,
        machine: Machine,
        term: ULong,
    ): List<WorkerCommand> {
        val records = context.view.on(heartbeat.machineName)
        // A task whose cancellation another controller has just committed must not start: launches need a fresh view.
        val mayLaunch = machine.phase != MachinePhase.RETIRING && responses.viewIsFresh()
        val result = HeartbeatReconciler.decide(heartbeat, records, term, mayLaunch)
        for (event in result.events) {
            workerHealth.recordTaskEvent(event, workerState)
            taskEvents.add(event)
        }
        workerState.reachability = workerState.reachability.answered(heartbeat, term, result.commands, context.nowNs)
        if (log.isDebugEnabled) {
            for (command in result.commands) {
                log.debug("event=worker_command term={} machine={} command={}", term, heartbeat.machineName, command)
            }
        }
        return result.commands
    }

    /** Notes the images of tasks that have been pulled, as the worker's cache holds them. */
    private fun recordImages(heartbeat: Heartbeat, workerState: WorkerState) {
        val cacheGb = context.view.machineTypes[heartbeat.machineType]?.cacheGb ?: return
        for (task in heartbeat.tasks) {
            if (!hasPulledImage(task)) continue
            val spec = context.view.jobs[task.job]?.spec ?: continue
            val isNew = spec.image !in workerState.images
            workerState.recordImage(spec.image, spec.imageGb, cacheGb)
            if (isNew) context.decisions.request()
        }
    }

    private fun hasPulledImage(task: TaskStatus): Boolean = when (task.state) {
        TaskState.PULLING -> false
        TaskState.ENDED -> task.cause == EndCause.DONE
        TaskState.GATHERING, TaskState.RUNNING, TaskState.SAVING -> true
    }

    private fun logStateChanges(previous: Heartbeat?, current: Heartbeat) {
        for (task in current.tasks) {
            val before = previous?.tasks?.firstOrNull {
                it.job == task.job && it.index == task.index && it.attempt == task.attempt
            }
            if (before?.state == task.state) continue
            log.debug(
                "event=task_state_changed job={} task={} attempt={} machine={} state={} cause={}",
                task.job,
                task.index,
                task.attempt,
                current.machineName,
                task.state,
                task.cause,
            )
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.workers")
    }
}
