package flaxfield.gangs

import flaxfield.NANOS_PER_SECOND
import flaxfield.arrays.PlacementCandidate
import flaxfield.controller.ControllerContext
import flaxfield.fleet.FleetCodec
import flaxfield.fleet.Machine
import flaxfield.fleet.MachineReservation
import flaxfield.jobs.Job
import flaxfield.jobs.JobTransactions
import flaxfield.quota.TeamUsage
import flaxfield.settings.Team
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/**
 * Reserves machines for gangs in two phases. The first transaction writes a reservation to the machines' records. Once
 * the shard owners have evicted other tasks, a second one commits the gang's placement or releases the machines. Each
 * is a single transaction, so that a gang is placed all-or-nothing.
 */
class GangReservations(
    private val context: ControllerContext,
    private val candidates: GangCandidates,
    private val backoff: GangBackoffQueue,
) {
    /** The monotonic time at which a gang's reservation was first seen in the view, by gang id. */
    private val reservedSinceNs = HashMap<String, Long>()

    /**
     * The machines whose reservation is being written, by gang id. A concurrent attempt for the same gang would reserve
     * further machines and evict tasks from them.
     */
    private val inFlight = HashMap<String, List<String>>()

    /** Removes all state, since this controller is no longer the leader. */
    fun clear() {
        reservedSinceNs.clear()
        inFlight.clear()
    }

    /** Returns the machines with an active reservation, by the id of the gang that they are reserved for. */
    fun activeByGang(): Map<String, List<Machine>> {
        val view = context.view
        val machines = view.reservedMachines.mapNotNull { view.machines[it] }.filter {
            view.activeReservation(it) !=
                null
        }
        val byGang = machines.groupBy { it.reservation?.job.orEmpty() }
        reservedSinceNs.keys.retainAll(byGang.keys)
        return byGang
    }

    /** Whether a write of the gang's reservation is in flight. */
    fun isInFlight(gangId: String): Boolean = gangId in inFlight

    /** Removes the in-flight reservations whose machine records have no pending writes any more. */
    fun removeCompleted() {
        inFlight.values.removeIf { names -> names.none(::isMachineWritePending) }
    }

    /** Writes a reservation of [placement]'s machines for [gang]. Backs off if it is too large for one transaction. */
    fun reserve(gang: Job, placement: GangPlacementResult.Feasible, evict: Boolean, cycle: GangSchedulingCycle) {
        val tasksByMachine = placement.candidates.values.groupingBy { it.machine }.eachCount()
        if (tasksByMachine.size > context.settings.stateLimits.txnOps) {
            return backoff.backOff(gang, GangBackoffReason.TransactionTooLarge)
        }
        val names = tasksByMachine.keys.map { it.name }
        val transaction = reservationTransaction(gang, tasksByMachine, evict, cycle.term)
        val sent = context.transactions.submit(WriteCause.GANG, transaction) { outcome ->
            log.info(
                "event=gang_reserved term={} job={} machines={} evict={} outcome={}",
                cycle.term,
                gang.id,
                names,
                evict,
                outcome,
            )
        }
        if (sent) {
            inFlight[gang.id] = names
            cycle.exclude(names.toHashSet())
        } else {
            placement.release(gang.spec)
            log.debug("event=gang_reservation_deferred job={} reason=write_budget", gang.id)
        }
    }

    private fun reservationTransaction(gang: Job, tasks: Map<Machine, Int>, evict: Boolean, term: ULong): Transaction {
        val conditions = HashMap(JobTransactions.assignmentFence(context))
        val changes = tasks.map { (machine, count) ->
            conditions[StoreKeys.MACHINE + machine.name] = machine.version
            val reservation = MachineReservation(gang.id, term, count, evict, gang.nextGangAttempt())
            Change.Put(StoreKeys.MACHINE + machine.name, FleetCodec.encode(machine.copy(reservation = reservation)))
        }
        return Transaction(conditions, changes)
    }

    /**
     * Commits the gang's placement on its reserved [machines] if it fits there now. Releases them if it can never fit,
     * or if the preempted tasks have not terminated in time.
     */
    fun complete(gangId: String, machines: List<Machine>, usage: TeamUsage, term: ULong) {
        if (machines.any { isMachineWritePending(it.name) } ||
            context.transactions.isWritePending(StoreKeys.JOB + gangId)
        ) {
            return
        }
        val gang = context.view.jobs[gangId]
        if (gang == null || !context.transactions.mayWrite(WriteCause.GANG, 1)) return
        val reservedAtNs = reservedSinceNs.getOrPut(gangId) { context.nowNs }
        val usable = candidates.fromReserved(machines)
        val result = GangPlacement.place(gang, usable, context.nowMs)
        if (result is GangPlacementResult.Feasible) return commit(gang, result.candidates, machines, usage, term)
        val heartbeatIntervalS = context.settings.workers.heartbeatIntervalS
        val timeoutNs =
            (heartbeatIntervalS * EVICTION_HEARTBEATS + gang.spec.checkpointDurationS) * NANOS_PER_SECOND
        val cannotFit = usable.size < machines.size || machines.none { it.reservation?.evict == true }
        if (cannotFit || context.nowNs - reservedAtNs > timeoutNs) {
            releaseAndBackOff(gang, machines, GangBackoffReason.ReservedCapacityUnavailable)
        }
    }

    private fun commit(
        gang: Job,
        placement: Map<Int, PlacementCandidate>,
        machines: List<Machine>,
        usage: TeamUsage,
        term: ULong,
    ) {
        val team = context.settings.teams[gang.spec.team] ?: return
        if (usage.remainingTasks(team.name, gang.spec.taskResources) < gang.spec.taskCount) {
            return releaseAndBackOff(gang, machines, GangBackoffReason.TeamQuota)
        }
        if (team.hasLimit && context.transactions.isWritePending(StoreKeys.QUOTA_FENCE + team.name)) return
        val attempt = gang.nextGangAttempt()
        val targets = placement.mapValues { (_, candidate) -> candidate.target() }
        val transaction = placementTransaction(gang, gang.place(targets, attempt), machines, team, term)
        if (transaction.changes.size > context.settings.stateLimits.txnOps) {
            return releaseAndBackOff(gang, machines, GangBackoffReason.TransactionTooLarge)
        }
        usage.add(team.name, gang.spec.taskResources * gang.spec.taskCount)
        context.transactions.submit(WriteCause.GANG, transaction) { outcome ->
            logCommit(gang, placement, attempt, term, outcome)
        }
    }

    private fun placementTransaction(
        gang: Job,
        placed: Job,
        machines: List<Machine>,
        team: Team,
        term: ULong,
    ): Transaction {
        val base = JobTransactions.update(gang, placed, term)
        val conditions = HashMap(base.conditions)
        val changes = ArrayList(base.changes)
        // Placing the attempt invalidates its reservation, so that the machines' records need not be rewritten.
        for (machine in machines) conditions[StoreKeys.MACHINE + machine.name] = machine.version
        if (team.hasLimit) {
            val fenceKey = StoreKeys.QUOTA_FENCE + team.name
            conditions[fenceKey] = context.view.version(fenceKey)
            changes += Change.Put(fenceKey, mapOf("job" to gang.id))
        }
        return Transaction(conditions, changes)
    }

    private fun logCommit(
        gang: Job,
        placement: Map<Int, PlacementCandidate>,
        attempt: Long,
        term: ULong,
        outcome: TransactionOutcome,
    ) {
        if (outcome !is TransactionOutcome.Committed) {
            log.info("event=gang_commit_failed term={} job={} outcome={}", term, gang.id, outcome)
            return
        }
        for ((task, candidate) in placement) {
            log.info(
                "event=gang_placed term={} job={} task={} attempt={} machine={}",
                term,
                gang.id,
                task,
                attempt,
                candidate.machine.name,
            )
        }
    }

    private fun releaseAndBackOff(gang: Job, machines: List<Machine>, reason: GangBackoffReason) {
        val conditions = HashMap(JobTransactions.assignmentFence(context))
        val changes = machines.take(context.settings.stateLimits.txnOps).map { machine ->
            conditions[StoreKeys.MACHINE + machine.name] = machine.version
            Change.Put(StoreKeys.MACHINE + machine.name, FleetCodec.encode(machine.copy(reservation = null)))
        }
        if (context.transactions.submit(WriteCause.GANG, Transaction(conditions, changes))) {
            log.info("event=gang_reservation_released job={} reason={}", gang.id, reason)
        }
        backoff.backOff(gang, reason)
    }

    private fun isMachineWritePending(machineName: String) =
        context.transactions.isWritePending(StoreKeys.MACHINE + machineName)

    companion object {
        private val log = LoggerFactory.getLogger("flaxfield.gangs")

        /** The time that preempted tasks get to terminate on a reserved machine, in heartbeat intervals. */
        const val EVICTION_HEARTBEATS = 4.0
    }
}
