package flaxfield.gangs

import flaxfield.NANOS_PER_SECOND
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
import flaxfield.store.TransactionSize
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/**
 * Reserves machines for gangs, and then commits their placements. Reservations are written to the machines' records, in
 * as many transactions as the limits require. Once all are in the view and the shard owners have evicted other tasks, a
 * single transaction commits the gang's placement, so that a gang is placed all-or-nothing.
 *
 * No reservation outlives its purpose: it is void under another term, and once its gang is cancelled, finished or placed
 * ([flaxfield.store.ClusterView.activeReservation]). The leader releases the others if the plan can't be completed.
 */
class GangReservations(
    private val context: ControllerContext,
    private val candidates: GangCandidates,
    private val backoff: GangBackoffQueue,
) {
    /** The monotonic time at which all of a gang's machines were first seen reserved in the view, by gang id. */
    private val reservedSinceNs = HashMap<String, Long>()

    /**
     * The machines whose reservation is being written, by gang id. A concurrent attempt for the same gang would reserve
     * further machines and evict tasks from them.
     */
    private val inFlight = HashMap<String, List<String>>()

    /** The plans of the gangs that are being reserved, by gang id. */
    private val plans = HashMap<String, ReservationPlan>()

    /** Removes all state, since this controller is no longer the leader. */
    fun clear() {
        reservedSinceNs.clear()
        inFlight.clear()
        plans.clear()
    }

    /** Returns the machines with an active reservation, by the id of the gang that they are reserved for. */
    fun activeByGang(): Map<String, List<Machine>> {
        val view = context.view
        val machines = view.reservedMachines.mapNotNull { view.machines[it] }
            .filter { view.activeReservation(it) != null }
        val byGang = machines.groupBy { it.reservation?.job.orEmpty() }
        reservedSinceNs.keys.retainAll(byGang.keys)
        plans.keys.removeIf { it !in byGang && it !in inFlight }
        return byGang
    }

    /** Whether a write of the gang's reservation is in flight. */
    fun isInFlight(gangId: String): Boolean = gangId in inFlight

    /** Returns the machines that plans need and that are not reserved yet. */
    fun plannedMachines(): Set<String> = plans.values.flatMapTo(HashSet()) { it.tasksByMachine.keys }

    /** Removes the in-flight reservations whose machine records have no pending writes any more. */
    fun removeCompleted() {
        inFlight.values.removeIf { names -> names.none(::isMachineWritePending) }
    }

    /** Starts to reserve [placement]'s machines for [gang]; [complete] reserves those beyond one transaction. */
    fun reserve(gang: Job, placement: GangPlacementResult.Feasible, evict: Boolean, cycle: GangSchedulingCycle) {
        val tasksByMachine = placement.tasksByCandidate().entries.associate { it.key.machine.name to it.value }
        val plan = ReservationPlan(gang.id, gang.nextGangAttempt(), tasksByMachine, evict, context.nowNs)
        if (submit(plan, plan.missing(emptySet()), cycle.term)) {
            plans[gang.id] = plan
            cycle.exclude(tasksByMachine.keys)
        } else {
            placement.release(gang.spec)
        }
    }

    /** Reserves as many of the [missing] machines of [plan] as fit into one transaction. Returns whether it was sent. */
    private fun submit(plan: ReservationPlan, missing: List<String>, term: ULong): Boolean {
        val batch = missing.take(maxBatch()).mapNotNull { context.view.machines[it] }
        val transaction = reservationTransaction(plan, batch, term)
        val names = batch.map { it.name }
        val sent = context.transactions.submit(WriteCause.GANG, transaction) { outcome ->
            log.info(
                "event=gang_reserved term={} job={} machines={} remaining={} evict={} outcome={}",
                term,
                plan.gangId,
                names,
                missing.size - batch.size,
                plan.evict,
                outcome,
            )
        }
        if (sent) {
            inFlight[plan.gangId] = names
        } else {
            log.debug("event=gang_reservation_deferred job={} reason=write_budget", plan.gangId)
        }
        return sent
    }

    private fun maxBatch(): Int = context.transactions.budget.maxBulkChanges(context.settings.stateLimits.txnOps)

    private fun reservationTransaction(plan: ReservationPlan, machines: List<Machine>, term: ULong): Transaction {
        val conditions = HashMap(JobTransactions.assignmentFence(context))
        val changes = machines.map { machine ->
            conditions[StoreKeys.MACHINE + machine.name] = machine.version
            val tasks = plan.tasksByMachine.getValue(machine.name)
            val reservation = MachineReservation(plan.gangId, term, tasks, plan.evict, plan.attempt)
            Change.Put(StoreKeys.MACHINE + machine.name, FleetCodec.encode(machine.copy(reservation = reservation)))
        }
        return Transaction(conditions, changes)
    }

    /**
     * Reserves further machines if the plan of the gang needs them, or else commits the gang's placement on its reserved
     * [machines] if it fits there now. Releases them if it can never fit, or if there is no progress for too long.
     */
    fun complete(gangId: String, machines: List<Machine>, usage: TeamUsage, term: ULong) {
        if (machines.any { isMachineWritePending(it.name) } ||
            inFlight[gangId].orEmpty().any(::isMachineWritePending) ||
            context.transactions.isWritePending(StoreKeys.JOB + gangId)
        ) {
            return
        }
        val gang = context.view.jobs[gangId]
        if (gang == null || !context.transactions.mayWrite(WriteCause.GANG, 1)) return
        val plan = plans[gangId]?.takeIf { it.isFor(gang) }
        val missing = plan?.missing(machines.mapTo(HashSet()) { it.name }).orEmpty()
        if (plan != null && missing.isNotEmpty()) return extend(plan, gang, machines, missing, term)
        place(gang, machines, usage, term)
    }

    /** Reserves the next of the [missing] machines, or releases those that are [reserved] if it can't. */
    private fun extend(plan: ReservationPlan, gang: Job, reserved: List<Machine>, missing: List<String>, term: ULong) {
        val waitedNs = plan.observe(reserved.size, context.nowNs)
        val areOpen = missing.all { name -> context.view.machines[name]?.let(candidates::isOpen) ?: false }
        if (!areOpen || waitedNs > timeoutNs(gang)) {
            releaseAndBackOff(gang, reserved, GangBackoffReason.ReservedCapacityUnavailable)
        } else {
            submit(plan, missing, term)
        }
    }

    private fun place(gang: Job, machines: List<Machine>, usage: TeamUsage, term: ULong) {
        val reservedAtNs = reservedSinceNs.getOrPut(gang.id) { context.nowNs }
        val usable = candidates.fromReserved(machines)
        val result = GangPlacement.place(gang, usable, context.nowMs)
        if (result is GangPlacementResult.Feasible) return commit(gang, result, machines, usage, term)
        val cannotFit = usable.size < machines.size || machines.none { it.reservation?.evict == true }
        if (cannotFit || context.nowNs - reservedAtNs > timeoutNs(gang)) {
            releaseAndBackOff(gang, machines, GangBackoffReason.ReservedCapacityUnavailable)
        }
    }

    /** How long reservations are kept without progress: preempted tasks must have left by then. */
    private fun timeoutNs(gang: Job): Long {
        val evictionS = context.settings.workers.heartbeatIntervalS * EVICTION_HEARTBEATS
        return ((evictionS + gang.spec.checkpointDurationS) * NANOS_PER_SECOND).toLong()
    }

    private fun commit(
        gang: Job,
        placement: GangPlacementResult.Feasible,
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
        val targets = placement.candidates.mapValues { (_, candidate) -> candidate.target() }
        val transaction = placementTransaction(gang, gang.place(targets, attempt), machines, team, term)
        val violation = context.transactions.violation(transaction)
        if (violation != null) {
            log.info("event=gang_commit_deferred job={} reason={}", gang.id, violation)
            return releaseAndBackOff(gang, machines, GangBackoffReason.TransactionTooLarge)
        }
        val sent = context.transactions.submit(WriteCause.GANG, transaction) { outcome ->
            logCommit(gang, placement, attempt, term, outcome)
        }
        if (sent) usage.add(team.name, gang.spec.taskResources * gang.spec.taskCount)
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
        if (team.hasLimit) {
            val fenceKey = StoreKeys.QUOTA_FENCE + team.name
            conditions[fenceKey] = context.view.version(fenceKey)
            changes += Change.Put(fenceKey, mapOf("job" to gang.id))
        }
        // Placing the attempt invalidates its reservation, so that the machines' records need not be rewritten. While
        // the reservation is active, only the leader of this term writes a machine's record. Machines beyond the limit
        // on conditions are therefore fenced by the term alone.
        val transaction = Transaction(conditions, changes)
        val maxMachines = context.settings.stateLimits.maxConditions - conditions.size
        var freeBytes = TransactionSize.freeBytes(transaction)
        val fenced = machines.take(maxMachines).takeWhile { machine ->
            freeBytes -= TransactionSize.conditionBytes(StoreKeys.MACHINE + machine.name)
            freeBytes >= 0
        }
        return transaction.copy(
            conditions = conditions + fenced.associate {
                StoreKeys.MACHINE + it.name to it.version
            },
        )
    }

    private fun logCommit(
        gang: Job,
        placement: GangPlacementResult.Feasible,
        attempt: Long,
        term: ULong,
        outcome: TransactionOutcome,
    ) {
        if (outcome !is TransactionOutcome.Committed) {
            log.info("event=gang_commit_failed term={} job={} outcome={}", term, gang.id, outcome)
            return
        }
        for ((task, candidate) in placement.candidates) {
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

    /** Releases as many of [machines] as fit into one transaction; the next cycle releases the others. */
    private fun releaseAndBackOff(gang: Job, machines: List<Machine>, reason: GangBackoffReason) {
        plans.remove(gang.id)
        val conditions = HashMap(JobTransactions.assignmentFence(context))
        val changes = machines.take(maxBatch()).map { machine ->
            conditions[StoreKeys.MACHINE + machine.name] = machine.version
            Change.Put(StoreKeys.MACHINE + machine.name, FleetCodec.encode(machine.copy(reservation = null)))
        }
        val sent = context.transactions.submit(WriteCause.GANG, Transaction(conditions, changes)) { outcome ->
            log.info(
                "event=gang_reservation_released job={} machines={} reason={} outcome={}",
                gang.id,
                changes.size,
                reason,
                outcome,
            )
        }
        // Without the write, the reservations stay in the view, and the next cycle decides again.
        if (sent && !backoff.isBackingOff(gang)) backoff.backOff(gang, reason)
    }

    private fun isMachineWritePending(machineName: String) =
        context.transactions.isWritePending(StoreKeys.MACHINE + machineName)

    companion object {
        private val log = LoggerFactory.getLogger("flaxfield.gangs")

        /** The time that preempted tasks get to terminate on a reserved machine, in heartbeat intervals. */
        const val EVICTION_HEARTBEATS = 4.0
    }
}
