package flaxfield.gangs

import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import flaxfield.store.StoreKeys
import flaxfield.store.WriteCause

/**
 * The leader's scheduling loop for gangs. Each run completes the reservations that the view shows, then attempts to
 * place the gangs that wait, in the scheduling order, and writes new reservations.
 */
class GangScheduler(private val context: ControllerContext) {
    private val backoff = GangBackoffQueue(context)
    private val candidates = GangCandidates(context)
    private val feasibility = GangFeasibility(context)
    private val reservations = GangReservations(context, candidates, backoff)

    /** One scheduling cycle; does nothing on a controller that does not lead. */
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
        reservations.releaseSettled()
        // Asked before the gangs are looked at: without write budget every attempt would be in vain.
        if (!context.transactions.mayWrite(WriteCause.GANG, 1)) return
        val waiting = gangs.filter { it.id !in reserved && isWaiting(it) }
        backoff.retain(waiting.mapTo(HashSet()) { it.id })
        if (waiting.isEmpty()) return
        val shapes = candidates.distinctShapes(waiting)
        if (!backoff.isAnyDue(waiting) { candidates.countFreeTasks(shapes) }) return
        backoff.scheduleNextCheck()
        schedule(waiting, GangSchedulingCycle(context, candidates.forShapes(shapes), usage, guaranteed, term))
    }

    /** Whether [gang] waits for machines, and no write of it is under way. */
    private fun isWaiting(gang: Job): Boolean = gang.placedCount == 0 &&
        !gang.complete &&
        !gang.cancelled &&
        gang.retryAtMs <= context.nowMs &&
        !reservations.isInFlight(gang.id) &&
        !context.transactions.isWritePending(StoreKeys.JOB + gang.id) &&
        GangPlacement.hasAllMembers(gang)

    /** Attempts to place [waiting] in their order, the gang that machines are reserved for first. */
    private fun schedule(waiting: List<Job>, cycle: GangSchedulingCycle) {
        val overdueBeforeMs = LargeGangReservation.overdueBeforeMs(context.nowMs)
        val largeGang = LargeGangReservation.selectGang(waiting, overdueBeforeMs)
        val quotaBound = largeGang?.takeIf {
            cycle.usage.remainingTasks(it.spec.team, it.spec.taskResources) < it.spec.taskCount
        }
        val ordered = context.scheduling.schedulingOrder(waiting, cycle.usage)
        for (gang in LargeGangReservation.withReservedFirst(largeGang, ordered)) {
            if (quotaBound != null && leavesQuotaTo(gang, quotaBound)) continue
            if (!backoff.isBackingOff(gang) && cycle.attempts < MAX_ATTEMPTS_PER_CYCLE) attempt(gang, cycle)
            // A gang that only its team's quota holds back has no use for the machines.
            val isReservedFor = gang === largeGang && gang !== quotaBound && !reservations.isInFlight(gang.id)
            if (isReservedFor) cycle.reserveFor(gang)
        }
    }

    /** A starved gang no longer waits behind one that may not come within its team's quota for long. */
    private fun leavesQuotaTo(gang: Job, quotaBound: Job): Boolean =
        !context.scheduling.isStarved(gang) && LargeGangReservation.leavesQuotaTo(gang, quotaBound)

    private fun attempt(gang: Job, cycle: GangSchedulingCycle) {
        when (val decision = feasibility.decide(gang, cycle)) {
            is GangDecision.Reserve -> reservations.reserve(gang, decision.placement, decision.evict, cycle)
            is GangDecision.BackOff -> backoff.backOff(gang, decision.reason)
        }
    }

    private companion object {
        /** Bounds one cycle: a team's many large gangs must not take the leader's whole turn. */
        const val MAX_ATTEMPTS_PER_CYCLE = 16
    }
}
