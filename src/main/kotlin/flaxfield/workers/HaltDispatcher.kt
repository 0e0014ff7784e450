package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.jobs.JobTransactions
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/**
 * Sends workers what can't wait for their next heartbeat: halts, and the term where they do not report by themselves.
 * Also records which tasks are to stop. Used by the owner thread only.
 */
class HaltDispatcher(
    private val context: ControllerContext,
    private val workerHealth: WorkerHealth,
    private val direct: DirectCommandSender,
) {
    private val heartbeatIntervalNs = context.settings.workers.heartbeatIntervalS * NANOS_PER_SECOND
    private val quietNs = (context.settings.workers.heartbeatIntervalS * QUIET_HEARTBEATS * NANOS_PER_SECOND).toLong()

    /**
     * The cloud takes the machine back soon: tasks with checkpoints are stopped, so that they go on elsewhere. A gang
     * that is placed on this machine as a whole runs on to the end.
     */
    fun stopForTerminationNotice(heartbeat: Heartbeat, term: ULong) {
        for (tasks in context.view.on(heartbeat.machineName).groupBy { it.job.id }.values) {
            val job = tasks.first().job
            val isWholeGang = job.isGang && job.spec.taskCount > 1 && tasks.size == job.spec.taskCount
            if (job.spec.checkpointIntervalS <= 0.0 || isWholeGang) continue
            val running = tasks.filter { !it.placed.stopping }.map { it.placed.index }
            stop(job.id, running, term, "termination_notice:${heartbeat.machineName}")
        }
    }

    /** Records that [tasks] of a job are to stop, or all of a gang; their halts follow from the records. */
    fun stop(id: String, tasks: List<Int>, term: ULong, reason: String) {
        val job = context.view.jobs[id] ?: return
        if (tasks.isEmpty()) return
        if (job.chunks.keys.any { context.transactions.isWritePending(StoreKeys.chunk(id, it)) }) return
        val stopped = if (job.isGang) job.allPlaced().map { it.index }.toList() else tasks
        val update = JobTransactions.update(job, job.stop(stopped), term)
        val sent = context.transactions.submit(WriteCause.GANG, JobTransactions.withLossMark(context, update))
        if (sent) log.info("event=tasks_stopping term={} job={} tasks={} reason={}", term, id, stopped, reason)
    }

    /**
     * Halts at once what the records no longer want, without waiting for the next heartbeat. Tasks of cancelled jobs
     * are halted also while our lease is over, and where the machine has not reported to us yet: its records and its
     * last known status suffice. Such a halt is right under any term, and a worker drops it if it knows a newer one.
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
            context.view.on(machineName),
            workerState.heartbeat,
            isQuiet(workerState),
            mayAct,
        )
        if (halts.isEmpty() || !sendDirect(workerState, term, halts)) return
        workerState.haltSentNs = context.nowNs
        log.debug("event=direct_halt term={} machine={} commands={}", term, machineName, halts)
    }

    private fun isQuiet(workerState: WorkerState): Boolean = context.nowNs - workerState.lastHeartbeatNs >
        context.settings.workers.heartbeatIntervalS * QUIET_HEARTBEATS * NANOS_PER_SECOND

    /** Pushes the term to silent workers, while this process may act. */
    fun tick() {
        workerHealth.observeTerm()
        val term = context.leadership.term() ?: return
        if (context.leadership.mayAct()) pushTerm(term)
    }

    /** Sends our workers the term when they do not report: a controller that is cut off may be answering them. */
    private fun pushTerm(term: ULong) {
        for (machine in context.shards.ownedMachines()) {
            val workerState = workerHealth.workerState(machine.name)
            val sinceNs = maxOf(workerState.lastHeartbeatNs, workerHealth.ownerSinceNs, workerState.termPushedNs)
            if (context.nowNs - sinceNs < quietNs) continue
            if (!sendDirect(workerState, term, emptyList())) continue
            workerState.termPushedNs = context.nowNs
            log.debug("event=term_pushed term={} machine={}", term, machine.name)
        }
    }

    /** Whether [commands] were sent: not if the worker's address is not known, or too many are being sent. */
    private fun sendDirect(workerState: WorkerState, term: ULong, commands: List<WorkerCommand>): Boolean {
        val worker = endpointOf(workerState) ?: return false
        val message = HeartbeatCodec.encodeDirect(term, worker.incarnation, commands)
        return direct.send(worker.address, message, context.post)
    }

    /** Where a worker is to be reached, and the incarnation that a command is meant for. */
    private class WorkerEndpoint(val address: String, val incarnation: ULong)

    /**
     * What the worker last reported to us or, if that is newer, to an earlier owner: the first heartbeat that we
     * receive may be a late copy.
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

        /** A worker that has not reported for this many heartbeat intervals is sent the term. */
        const val QUIET_HEARTBEATS = 2.0
    }
}
