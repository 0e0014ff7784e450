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
 * Machines reserved for gangs: first written to the machines' records, then, once their owners have evicted, either
 * committed as the gang's placement or released. One transaction each; a gang is placed whole or not at all.
 */
class GangReservations(
    private val context: ControllerContext,
    private val candidates: GangCandidates,
    private val backoff: GangBackoffQueue,
) {
    /** When a gang's reservation was first seen in the view, on the monotonic clock. */
    private val reservedSinceNs = HashMap<String, Long>()

    /**
     * Machines whose reservation is being written, by gang: another attempt meanwhile would reserve, and evict from,
     * other machines as well.
     */
    private val inFlight = HashMap<String, List<String>>()

    /** Forgets everything, when another controller leads. */
    fun clear() {
        reservedSinceNs.clear()
        inFlight.clear()
    }

    /** The machines with a valid reservation, by the gang that it is for. */
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

    /** Whether a reservation for the gang is being written. */
    fun isInFlight(gangId: String): Boolean = gangId in inFlight

    /** Drops the marks of reservations that the view shows now. */
    fun releaseSettled() {
        inFlight.values.removeIf { names -> names.none(::isMachineWritePending) }
    }

    /** Writes a reservation of the machines of [placement] for [gang]; backs off if one transaction can't hold it. */
    fun reserve(gang: Job, placement: GangPlacementResult.Feasible, evict: Boolean, cycle: GangSchedulingCycle) {
        val tasksByMachine = placement.candidates.values.groupingBy { it.machine }.eachCount()
        if (tasksByMachine.size > context.settings.stateLimits.txnOps) {
            return backoff.backOff(gang, GangBackoffReason.TransactionTooLarge)
        }
        val names = tasksByMachine.keys.map { it.name }
        val transaction = reservationOf(gang, tasksByMachine, evict, cycle.term)
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

    private fun reservationOf(gang: Job, tasks: Map<Machine, Int>, evict: Boolean, term: ULong): Transaction {
        val conditions = HashMap(JobTransactions.assignmentFence(context))
        val changes = tasks.map { (machine, count) ->
            conditions[StoreKeys.MACHINE + machine.name] = machine.version
            val reservation = MachineReservation(gang.id, term, count, evict, gang.nextGangAttempt())
            Change.Put(StoreKeys.MACHINE + machine.name, FleetCodec.encode(machine.copy(reservation = reservation)))
        }
        return Transaction(conditions, changes)
    }

    /**
     * Commits the gang on its reserved [machines] if it fits there now; releases them if it can't, or if preempted
     * tasks have not left in time.
     */
    fun complete(gangId: String, machines: List<Machine>, usage: TeamUsage, term: ULong) {
        if (machines.any { isMachineWritePending(it.name) } ||
            context.transactions.isWritePending(StoreKeys.JOB + gangId)
        ) {
            return
        }
        val gang = context.view.jobs[gangId]
        if (gang == null || !context.transactions.mayWrite(WriteCause.GANG, 1)) return
        val sinceNs = reservedSinceNs.getOrPut(gangId) { context.nowNs }
        val usable = candidates.fromReserved(machines)
        val result = GangPlacement.place(gang, usable)
        if (result is GangPlacementResult.Feasible) return commit(gang, result.candidates, machines, usage, term)
        val heartbeatIntervalS = context.settings.workers.heartbeatIntervalS
        val timeoutNs =
            (heartbeatIntervalS * EVICTION_HEARTBEATS + gang.spec.checkpointDurationS) * NANOS_PER_SECOND
        val isHopeless = usable.size < machines.size || machines.none { it.reservation?.evict == true }
        if (isHopeless || context.nowNs - sinceNs > timeoutNs) {
            releaseAndBackOff(gang, machines, GangBackoffReason.ReservedCapacityGone)
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
        val transaction = commitOf(gang, gang.place(targets, attempt), machines, team, term)
        if (transaction.changes.size > context.settings.stateLimits.txnOps) {
            return releaseAndBackOff(gang, machines, GangBackoffReason.TransactionTooLarge)
        }
        usage.add(team.name, gang.spec.taskResources * gang.spec.taskCount)
        context.transactions.submit(WriteCause.GANG, transaction) { outcome ->
            logCommit(gang, placement, attempt, term, outcome)
        }
    }

    private fun commitOf(gang: Job, placed: Job, machines: List<Machine>, team: Team, term: ULong): Transaction {
        val base = JobTransactions.update(gang, placed, term)
        val conditions = HashMap(base.conditions)
        val changes = ArrayList(base.changes)
        // A reservation is void once its attempt is placed: the machines' records need no write of their own.
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

        /** How long preempted tasks may take to leave a reserved machine, in heartbeat intervals. */
        const val EVICTION_HEARTBEATS = 4.0
    }
}
