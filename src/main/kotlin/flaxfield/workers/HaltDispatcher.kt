package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.jobs.JobTransactions
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/**
 * Sends halts to workers without waiting for their next heartbeat, and the term to workers whose heartbeats are
 * overdue. Also records which tasks must stop. Confined to the owner thread.
 */
class HaltDispatcher(
    private val context: ControllerContext,
    private val workerHealth: WorkerHealth,
    private val direct: DirectCommandSender,
) {
    private val heartbeatIntervalNs = context.settings.workers.heartbeatIntervalS * NANOS_PER_SECOND
    private val heartbeatOverdueNs =
        (context.settings.workers.heartbeatIntervalS * OVERDUE_HEARTBEAT_INTERVALS * NANOS_PER_SECOND).toLong()

    /**
     * Stops the checkpointing tasks on a machine that the cloud is about to terminate, so that they resume elsewhere. A
     * gang whose tasks are all on this machine keeps running until the termination.
     */
    fun stopForTerminationNotice(heartbeat: Heartbeat, term: ULong) {
        for (tasks in context.view.placedTasksOn(heartbeat.machineName).groupBy { it.job.id }.values) {
            val job = tasks.first().job
            val isWholeGang = job.isGang && job.spec.taskCount > 1 && tasks.size == job.spec.taskCount
            if (job.spec.checkpointIntervalS <= 0.0 || isWholeGang) continue
            val running = tasks.filter { !it.placed.stopping }.map { it.placed.index }
            stop(job.id, running, term, "termination_notice:${heartbeat.machineName}")
        }
    }

    /**
     * Records that [tasks] of job [id] must stop; for a gang, all of its tasks. The halts are derived from the records.
     */
    fun stop(id: String, tasks: List<Int>, term: ULong, reason: String) {
        val job = context.view.jobs[id] ?: return
        if (tasks.isEmpty()) return
        if (job.chunks.keys.any { context.transactions.isWritePending(StoreKeys.chunk(id, it)) }) return
        val stopped = if (job.isGang) job.allPlaced().map { it.index }.toList() else tasks
        val update = JobTransactions.update(job, job.stop(stopped), term)
        val submitted = context.transactions.submit(WriteCause.GANG, JobTransactions.withLossMark(context, update))
        if (submitted) log.info("event=tasks_stopping term={} job={} tasks={} reason={}", term, id, stopped, reason)
    }

    /**
     * Sends halts for tasks that must end, without waiting for the next heartbeat.
     *
     * Tasks of cancelled jobs are halted even if this process's lease has expired. They are also halted if the machine
     * has not sent it a heartbeat yet: the records and the last known status of the machine suffice. Such a halt
     * is valid under any term, and a worker that knows a newer term ignores it.
     */
    fun haltNow() {
        val term = context.view.assignment?.term ?: return
        if (context.view.halting.isEmpty()) return
        val mayAct = context.leadership.mayAct()
        for (machineName in machinesToHalt(mayAct)) {
            val zone = zoneOf(machineName) ?: continue
            if (context.shards.owns(machineName, zone)) haltOn(machineName, term, mayAct)
        }
    }

    private fun machinesToHalt(mayAct: Boolean): Set<String> = context.view.halting.flatMapTo(LinkedHashSet()) { id ->
        val job = context.view.jobs[id]
        job?.allPlaced()?.filter { job.cancelled || mayAct && it.stopping }?.map { it.machineName }?.toList().orEmpty()
    }

    private fun zoneOf(machineName: String): String? =
        context.view.machines[machineName]?.zone ?: workerHealth.workerStateOrNull(machineName)?.heartbeat?.zone

    private fun haltOn(machineName: String, term: ULong, mayAct: Boolean) {
        val workerState = workerHealth.workerState(machineName)
        if (context.nowNs - workerState.haltSentNs < heartbeatIntervalNs) return
        val halts = HeartbeatReconciler.directHalts(
            context.view.placedTasksOn(machineName),
            workerState.heartbeat,
            isHeartbeatOverdue(workerState),
            mayAct,
        )
        if (halts.isEmpty() || !sendDirect(workerState, term, halts)) return
        workerState.haltSentNs = context.nowNs
        log.debug("event=direct_halt term={} machine={} commands={}", term, machineName, halts)
    }

    private fun isHeartbeatOverdue(workerState: WorkerState): Boolean = context.nowNs - workerState.lastHeartbeatNs >
        context.settings.workers.heartbeatIntervalS * OVERDUE_HEARTBEAT_INTERVALS * NANOS_PER_SECOND

    /** Pushes the term to workers whose heartbeats are overdue, while this process may act. */
    fun tick() {
        workerHealth.observeTerm()
        val term = context.leadership.term() ?: return
        if (context.leadership.mayAct()) pushTerm(term)
    }

    /**
     * Pushes the term to the workers of this shard whose heartbeats are overdue: a partitioned controller may be
     * responding to them.
     */
    private fun pushTerm(term: ULong) {
        for (machine in context.shards.ownedMachines()) {
            val workerState = workerHealth.workerState(machine.name)
            val sinceNs = maxOf(workerState.lastHeartbeatNs, workerHealth.ownerSinceNs, workerState.termPushedNs)
            if (context.nowNs - sinceNs < heartbeatOverdueNs) continue
            if (!sendDirect(workerState, term, emptyList())) continue
            workerState.termPushedNs = context.nowNs
            log.debug("event=term_pushed term={} machine={}", term, machine.name)
        }
    }

    /** Sends [commands]; returns false if the worker's address is unknown or too many requests are in flight. */
    private fun sendDirect(workerState: WorkerState, term: ULong, commands: List<WorkerCommand>): Boolean {
        val endpoint = endpointOf(workerState) ?: return false
        val message = HeartbeatCodec.encodeDirect(term, endpoint.incarnation, commands)
        return direct.send(endpoint.address, message, context.post)
    }

    /** The address of a worker and the incarnation that a command is addressed to. */
    private class WorkerEndpoint(val address: String, val incarnation: ULong)

    /**
     * Returns the endpoint from the worker's latest heartbeat or from the status that an earlier owner stored,
     * whichever is newer. The first heartbeat received here may be a delayed duplicate.
     */
    private fun endpointOf(workerState: WorkerState): WorkerEndpoint? {
        val heartbeat = workerState.heartbeat
        val status = context.view.lastKnownStatus(workerState.machineName)?.takeIf {
            it.incarnation > 0uL && it.address.isNotEmpty()
        }
        return when {
            heartbeat != null && (status == null || heartbeat.incarnation >= status.incarnation) ->
                WorkerEndpoint(heartbeat.address, heartbeat.incarnation)
            status != null -> WorkerEndpoint(status.address, status.incarnation)
            else -> null
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.workers")

        /** A worker's heartbeat is overdue after this many heartbeat intervals. */
        const val OVERDUE_HEARTBEAT_INTERVALS = 2.0
    }
}
