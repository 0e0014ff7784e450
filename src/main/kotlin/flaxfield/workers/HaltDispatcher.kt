package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import flaxfield.jobs.JobTransactions
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory
import java.util.TreeSet

/** What the halts for one machine depend on; while it is the same, they are too. */
data class HaltInputs(
    val jobsVersion: Long,
    val incarnation: ULong?,
    val sequenceNumber: ULong?,
    val heartbeatOverdue: Boolean,
    val mayAct: Boolean,
)

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

    /** The machine at which the next round of halts starts; null if the last round checked all machines. */
    private var nextMachine: String? = null

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
        val stopped = if (job.isGang) job.stopAll() else job.stop(withinOneTransaction(job, tasks))
        val update = JobTransactions.update(job, stopped, term)
        if (update.changes.isEmpty()) return
        val submitted = context.transactions.submit(WriteCause.GANG, JobTransactions.withLossMark(context, update))
        if (submitted) log.info("event=tasks_stopping term={} job={} tasks={} reason={}", term, id, tasks.size, reason)
    }

    /** Returns the [tasks] of an array whose chunks fit into one transaction; the others follow in later ones. */
    private fun withinOneTransaction(job: Job, tasks: List<Int>): List<Int> {
        val chunks = tasks.mapTo(LinkedHashSet()) { it / job.chunkTasks }
            .take(JobTransactions.maxChunks(context.settings.stateLimits))
            .toSet()
        return tasks.filter { it / job.chunkTasks in chunks }
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
        val machines = ownedMachinesWithHalts(mayAct)
        val start = machines.indexOf(nextMachine).coerceAtLeast(0)
        nextMachine = null
        var checkedTasks = 0
        for (machineName in machines.drop(start) + machines.take(start)) {
            if (checkedTasks >= MAX_CHECKED_TASKS) {
                nextMachine = machineName
                return context.decisions.request()
            }
            if (haltOn(machineName, term, mayAct)) checkedTasks += context.view.taskCountOn(machineName)
        }
    }

    /** Returns the machines of this shard that run tasks of jobs with a task to halt, in the order of their names. */
    private fun ownedMachinesWithHalts(mayAct: Boolean): List<String> {
        val names = TreeSet<String>()
        for (id in context.view.halting) {
            if (mayAct || context.view.jobs[id]?.cancelled == true) names += context.view.taskCountsOf(id).keys
        }
        return names.filter { machineName ->
            zoneOf(machineName)?.let { context.shards.owns(machineName, it) } ?: false
        }
    }

    private fun zoneOf(machineName: String): String? =
        context.view.machines[machineName]?.zone ?: workerHealth.workerStateOrNull(machineName)?.heartbeat?.zone

    /** Sends the halts that are due on [machineName]. Returns whether its tasks had to be checked. */
    private fun haltOn(machineName: String, term: ULong, mayAct: Boolean): Boolean {
        val workerState = workerHealth.workerState(machineName)
        if (context.nowNs - workerState.haltSentNs < heartbeatIntervalNs) return false
        val inputs = haltInputs(workerState, mayAct)
        if (inputs == workerState.inputsWithoutHalts) return false
        workerState.inputsWithoutHalts = null
        val halts = HeartbeatReconciler.directHalts(
            context.view.placedTasksOn(machineName),
            workerState.heartbeat,
            inputs.heartbeatOverdue,
            mayAct,
        )
        if (halts.isEmpty()) workerState.inputsWithoutHalts = inputs
        if (halts.isEmpty() || !sendDirect(workerState, term, halts)) return true
        workerState.haltSentNs = context.nowNs
        log.debug("event=direct_halt term={} machine={} commands={}", term, machineName, halts)
        return true
    }

    private fun haltInputs(workerState: WorkerState, mayAct: Boolean) = HaltInputs(
        context.view.jobsVersion,
        workerState.heartbeat?.incarnation,
        workerState.heartbeat?.sequenceNumber,
        isHeartbeatOverdue(workerState),
        mayAct,
    )

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

    /** Sends [halts]; returns false if the worker's address is unknown or too many requests are in flight. */
    private fun sendDirect(workerState: WorkerState, term: ULong, halts: List<WorkerCommand.Halt>): Boolean {
        val endpoint = endpointOf(workerState) ?: return false
        val message = HeartbeatCodec.encodeDirect(term, endpoint.incarnation, halts)
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

        /** The number of tasks after whose check a round of halts ends; the next round goes on from there. */
        const val MAX_CHECKED_TASKS = 4_000
    }
}
