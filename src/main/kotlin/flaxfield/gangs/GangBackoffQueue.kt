package flaxfield.gangs

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import org.slf4j.LoggerFactory

/** Why a gang can't start now, in the form of its log line's `reason` and the keys after it. */
sealed class GangBackoffReason(private val logFields: String) {
    /** Its team's quota has no place for all members. */
    object TeamQuota : GangBackoffReason("team_quota")

    /** No machines hold all members, even after preemption. */
    class Infeasible(result: GangPlacementResult.Infeasible) :
        GangBackoffReason("infeasible assumed=${result.assumed} left=${result.left}")

    /** Machines with its image are likely to come free in time. */
    class ImageNotCached(image: String) : GangBackoffReason("image_not_cached image=$image")

    /** What was reserved for it is no longer free, or did not become so in time. */
    object ReservedCapacityGone : GangBackoffReason("reserved_capacity_gone")

    /** It needs more changes than one transaction may hold. */
    object TransactionTooLarge : GangBackoffReason("transaction_too_large")

    override fun toString(): String = logFields
}

/**
 * Gangs whose last attempt failed, each with an exponential backoff. More free capacity makes all of them due at once.
 * Owned by the leader's owner thread; not stored.
 */
class GangBackoffQueue(private val context: ControllerContext) {
    private class Backoff(val untilNs: Long, val attempts: Int)

    private val backoffs = HashMap<String, Backoff>()
    private var nextCheckNs = 0L

    /** How many tasks of the waiting shapes there was capacity for at the last check. */
    private var lastFreeTasks = 0

    /** Forgets all backoffs. */
    fun clear() = backoffs.clear()

    /** Forgets the gangs that are not among [ids]. */
    fun retain(ids: Set<String>) {
        backoffs.keys.retainAll(ids)
    }

    /** Whether [gang] is not due yet. */
    fun isBackingOff(gang: Job): Boolean = backoffs[gang.id]?.let { context.nowNs < it.untilNs } ?: false

    /**
     * Whether any of [waiting] is new or due. At each check more capacity than at the last makes all of them due; it is
     * counted in tasks of the waiting shapes by [countFreeTasks], since a place that fits none of them helps none.
     */
    fun isAnyDue(waiting: List<Job>, countFreeTasks: () -> Int): Boolean {
        val isAnyNew = waiting.any { it.id !in backoffs }
        val isCheckDue = context.nowNs >= nextCheckNs
        if (!isAnyNew && !isCheckDue) return false
        if (isCheckDue) wakeOnMoreCapacity(countFreeTasks())
        return isAnyNew || waiting.any { gang -> backoffs[gang.id]?.let { context.nowNs >= it.untilNs } ?: false }
    }

    /** Sets when gangs that back off are looked at again, all of them together. */
    fun scheduleNextCheck() {
        nextCheckNs =
            context.nowNs + (context.settings.workers.heartbeatIntervalS * CHECK_HEARTBEATS * NANOS_PER_SECOND).toLong()
    }

    /** Puts [gang] off, twice as long as the last time. */
    fun backOff(gang: Job, reason: GangBackoffReason) {
        val attempts = (backoffs[gang.id]?.attempts ?: 0) + 1
        val waitS = context.settings.workers.heartbeatIntervalS * INITIAL_BACKOFF_HEARTBEATS *
            (1 shl minOf(attempts - 1, MAX_DOUBLINGS))
        backoffs[gang.id] = Backoff(context.nowNs + (waitS * NANOS_PER_SECOND).toLong(), attempts)
        if (attempts == 1) {
            log.info("event=gang_backed_off job={} reason={}", gang.id, reason)
        } else {
            log.debug("event=gang_backed_off job={} reason={}", gang.id, reason)
        }
    }

    private fun wakeOnMoreCapacity(freeTasks: Int) {
        if (freeTasks > lastFreeTasks) backoffs.replaceAll { _, backoff -> Backoff(0, backoff.attempts) }
        lastFreeTasks = freeTasks
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.gangs")

        /** The first backoff, in heartbeat intervals. */
        const val INITIAL_BACKOFF_HEARTBEATS = 0.25
        const val MAX_DOUBLINGS = 4

        /** How often backed-off gangs are looked at, in heartbeat intervals. */
        const val CHECK_HEARTBEATS = 0.15
    }
}
