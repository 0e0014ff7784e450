package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.TaskEventCommitter
import flaxfield.net.Responder
import org.slf4j.LoggerFactory

/**
 * Handles heartbeats of machines in this controller's shard: records each heartbeat, reconciles it with the task
 * records, and responds with the resulting commands.
 */
internal class OwnedHeartbeatHandler(
    private val context: ControllerContext,
    private val taskEvents: TaskEventCommitter,
    private val workerHealth: WorkerHealth,
    private val haltDispatcher: HaltDispatcher,
    private val responses: HeartbeatResponder,
) {
    private val adopter = UnknownMachineAdopter(context, workerHealth)
    private val gangWaits = GangWaitPolicy(context)
    private val leaseNs = context.settings.workers.leaseS * NANOS_PER_SECOND

    /** Handles [heartbeat] under the current [term]; a delayed duplicate leads to no decision. */
    fun handle(heartbeat: Heartbeat, workerState: WorkerState, term: ULong, responder: Responder) {
        // After this process's lease has expired, another controller may act under a newer term, so this one makes no
        // decisions. The maximum age of the view limits how long it renews leases in that state.
        if (!context.leadership.leaseValid()) return responses.renewWithoutDecision(heartbeat, term, responder)
        val previous = workerState.heartbeat
        if (previous != null && !heartbeat.isNewerThan(previous.incarnation, previous.sequenceNumber)) {
            return responses.renewWithoutDecision(heartbeat, term, responder)
        }
        record(heartbeat, workerState, term)
        if (isIncarnationOrNoticeChanged(previous, heartbeat)) onWorkerChange(heartbeat, term)
        val machine = context.view.machines[heartbeat.machineName]
        if (machine == null) {
            // A delayed duplicate may come from a terminated machine: adopt only a worker that knows the current term.
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
        workerState.reachability = workerState.reachability.afterHeartbeat(heartbeat, term, context.nowNs, leaseNs)
        if (workerState.reachability.isUnreachable) workerHealth.markUnreachable(workerState)
        if (workerState.heartbeat == null) workerState.firstHeartbeatNs = context.nowNs
        workerState.heartbeat = heartbeat
        // A heartbeat under an older term may be a delayed duplicate, which does not prove that the worker is alive. A
        // live worker learns the term from the response and immediately sends another heartbeat.
        if (heartbeat.fencingToken == term) workerHealth.recordLiveness(workerState, heartbeat.zone)
    }

    private fun isIncarnationOrNoticeChanged(previous: Heartbeat?, current: Heartbeat): Boolean = previous == null ||
        previous.incarnation != current.incarnation ||
        previous.terminationNoticeS == null != (current.terminationNoticeS == null)

    private fun onWorkerChange(heartbeat: Heartbeat, term: ULong) {
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
        val records = context.view.placedTasksOn(heartbeat.machineName)
        // Launches need a fresh view: a task must not start if another controller has just committed its cancellation.
        val mayLaunch = machine.phase != MachinePhase.RETIRING && responses.viewIsFresh()
        gangWaits.observe(records, workerState)
        val result = HeartbeatReconciler.decide(heartbeat, records, term, mayLaunch) {
            gangWaits.mayWaitAgain(it, workerState)
        }
        for (event in result.events) {
            workerHealth.recordTaskEvent(event, workerState)
            taskEvents.add(event)
        }
        workerState.reachability =
            workerState.reachability.afterResponse(heartbeat, term, result.commands, context.nowNs)
        if (log.isDebugEnabled) {
            for (command in result.commands) {
                log.debug("event=worker_command term={} machine={} command={}", term, heartbeat.machineName, command)
            }
        }
        return result.commands
    }

    /** Records the pulled images of the reported tasks, mirroring the worker's image cache. */
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
            val before = previous?.task(AttemptId(task.job, task.index, task.attempt))
            if (before?.state == task.state) continue
            log.debug(
                "event=task_state_changed job={} task={} attempt={} machine={} state={} reason={}",
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
