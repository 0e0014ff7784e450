package flaxfield.gangs

import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause

/**
 * The leader's scheduling loop for gangs. Each run commits or releases the reservations in the view. It then attempts
 * to place the waiting gangs in scheduling order, and writes new reservations for them.
 */
class GangScheduler(private val context: ControllerContext) {
    private val backoff = GangBackoffQueue(context)
    private val candidates = GangCandidates(context)
    private val feasibility = GangFeasibility(context)
    private val reservations = GangReservations(context, candidates, backoff)

    /** Runs one scheduling cycle. On a controller that is not the leader, only clears the state of an earlier term. */
    fun run() {
        if (!context.leadership.isLeader()) {
            backoff.clear()
            reservations.clear()
            return
        }
        val term = context.leadership.term() ?: return
        val reserved = reservations.activeByGang()
        val gangs = context.view.gangs.mapNotNull { context.view.jobs[it] }
        if (gangs.isEmpty() && reserved.isEmpty()) return
        val usage = context.scheduling.teamUsage()
        val guaranteed = context.scheduling.guaranteed()
        for ((gangId, machines) in reserved) reservations.complete(gangId, machines, usage, term)
        reservations.removeCompleted()
        // Checked before any gang is considered: without write budget no attempt could be written.
        if (!context.transactions.mayWrite(WriteCause.GANG, 1)) return
        val pending = gangs.filter { it.id !in reserved && isWaiting(it) }
        backoff.retain(pending.mapTo(HashSet()) { it.id })
        val waiting = pending.filter(::fitsOneTransaction)
        if (waiting.isEmpty()) return
        val shapes = candidates.distinctShapes(waiting)
        if (!backoff.isAnyDue(waiting) { candidates.countFreeTasks(shapes) }) return
        backoff.scheduleNextCheck()
        val cycle = GangSchedulingCycle(context, candidates.forShapes(shapes), usage, guaranteed, term)
        cycle.exclude(reservations.plannedMachines())
        schedule(waiting, cycle)
    }

    /** Whether [gang] waits for machines and has no write in flight. */
    private fun isWaiting(gang: Job): Boolean = gang.placedCount == 0 &&
        !gang.complete &&
        !gang.cancelled &&
        gang.retryAtMs <= context.nowMs &&
        !reservations.isInFlight(gang.id) &&
        !context.transactions.isWritePending(StoreKeys.JOB + gang.id) &&
        GangPlacement.hasAllMembers(gang)

    /** Whether [gang] can be placed by one transaction. An earlier build may have accepted one that can't. */
    private fun fitsOneTransaction(gang: Job): Boolean {
        if (context.scheduling.gangSize.rejectionReason(gang.spec) == null) return true
        if (!backoff.isBackingOff(gang)) backoff.backOff(gang, GangBackoffReason.TransactionTooLarge)
        return false
    }

    /** Attempts to place [waiting] in scheduling order, preceded by the large gang that machines are reserved for. */
    private fun schedule(waiting: List<Job>, cycle: GangSchedulingCycle) {
        val overdueBeforeMs = LargeGangReservation.overdueBeforeMs(context.nowMs)
        val largeGang = LargeGangReservation.selectGang(waiting, overdueBeforeMs)
        val quotaBlocked = largeGang?.takeIf {
            cycle.usage.remainingTasks(it.spec.team, it.spec.taskResources) < it.spec.taskCount
        }
        val ordered = context.scheduling.schedulingOrder(waiting, cycle.usage)
        for (gang in LargeGangReservation.withReservedFirst(largeGang, ordered)) {
            if (quotaBlocked != null && yieldsQuotaTo(gang, quotaBlocked)) continue
            if (!backoff.isBackingOff(gang) && cycle.attempts < MAX_ATTEMPTS_PER_CYCLE) attempt(gang, cycle)
            // A gang that waits only for its team's quota can't use reserved machines.
            val reservesMachines = gang === largeGang && gang !== quotaBlocked && !reservations.isInFlight(gang.id)
            if (reservesMachines) cycle.reserveFor(gang)
        }
    }

    /**
     * Whether [gang] waits for [quotaBlocked]. A starved gang never does, since the quota may stay exhausted for long.
     */
    private fun yieldsQuotaTo(gang: Job, quotaBlocked: Job): Boolean =
        !context.scheduling.isStarved(gang) && LargeGangReservation.yieldsQuotaTo(gang, quotaBlocked)

    private fun attempt(gang: Job, cycle: GangSchedulingCycle) {
        when (val decision = feasibility.decide(gang, cycle)) {
            is GangDecision.Reserve -> reservations.reserve(gang, decision.placement, decision.evict, cycle)
            is GangDecision.BackOff -> backoff.backOff(gang, decision.reason)
        }
    }

    private companion object {
        /**
         * Bounds the duration of one cycle, so that many large gangs of one team don't block the leader's owner thread.
         */
        const val MAX_ATTEMPTS_PER_CYCLE = 16
    }
}
