package flaxfield.gangs

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import org.slf4j.LoggerFactory

/** The reason why a gang can't start now. Its string form is the `reason` of a log line, and further keys if any. */
sealed class GangBackoffReason(private val logFields: String) {
    /** The remaining quota of its team does not admit all members. */
    object TeamQuota : GangBackoffReason("team_quota")

    /** The machines can't hold all members, even after preemption. */
    class Infeasible(result: GangPlacementResult.Infeasible) :
        GangBackoffReason("infeasible assumed=${result.assumed} untried=${result.untriedTasks}")

    /** Its image must be fetched, but machines that have it cached are likely to become free in time. */
    class ImageNotCached(image: String) : GangBackoffReason("image_not_cached image=$image")

    /** The capacity that was reserved for it is no longer available, or did not become available in time. */
    object ReservedCapacityUnavailable : GangBackoffReason("reserved_capacity_gone")

    /** Its reservation or placement needs more changes than one transaction may hold. */
    object TransactionTooLarge : GangBackoffReason("transaction_too_large")

    override fun toString(): String = logFields
}

/**
 * Tracks the gangs whose last attempt failed, each with an exponential backoff. When more capacity becomes free, all
 * of them become due at once. Confined to the leader's owner thread; not stored.
 */
class GangBackoffQueue(private val context: ControllerContext) {
    private class Backoff(val untilNs: Long, val attempts: Int)

    private val backoffs = HashMap<String, Backoff>()
    private var nextCheckNs = 0L

    /** The number of tasks of the waiting shapes that the free capacity could hold at the last check. */
    private var lastFreeTasks = 0

    /** Removes all backoffs. */
    fun clear() = backoffs.clear()

    /** Removes the backoffs of gangs that are not among [ids]. */
    fun retain(ids: Set<String>) {
        backoffs.keys.retainAll(ids)
    }

    /** Whether the backoff of [gang] has not expired yet. */
    fun isBackingOff(gang: Job): Boolean = backoffs[gang.id]?.let { context.nowNs < it.untilNs } ?: false

    /**
     * Whether any of [waiting] is new or due. If a check finds more free capacity than the one before it, all of them
     * become due. [countFreeTasks] counts that capacity in tasks of the waiting shapes, so that resources too small for
     * any of them don't count.
     */
    fun isAnyDue(waiting: List<Job>, countFreeTasks: () -> Int): Boolean {
        val isAnyNew = waiting.any { it.id !in backoffs }
        val isCheckDue = context.nowNs >= nextCheckNs
        if (!isAnyNew && !isCheckDue) return false
        if (isCheckDue) wakeOnMoreCapacity(countFreeTasks())
        return isAnyNew || waiting.any { gang -> backoffs[gang.id]?.let { context.nowNs >= it.untilNs } ?: false }
    }

    /** Schedules the next check of the free capacity, which is common to all gangs that back off. */
    fun scheduleNextCheck() {
        nextCheckNs =
            context.nowNs + (context.settings.workers.heartbeatIntervalS * CHECK_HEARTBEATS * NANOS_PER_SECOND).toLong()
    }

    /** Starts a backoff of [gang], twice as long as its last one, up to a maximum. */
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

        /** The number of attempts after which the backoff stops growing. */
        const val MAX_DOUBLINGS = 4

        /** The time between two checks of the free capacity, in heartbeat intervals. */
        const val CHECK_HEARTBEATS = 0.15
    }
}
