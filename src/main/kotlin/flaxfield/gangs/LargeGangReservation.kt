package flaxfield.gangs

import flaxfield.MILLIS_PER_SECOND
import flaxfield.arrays.PlacementCandidate
import flaxfield.jobs.Job
import flaxfield.quota.JobOrder

/**
 * Selects the machines that are reserved for one large gang at a time. Without a reservation each machine that becomes
 * free goes to a smaller gang that fits at once, and the largest gangs starve. Pure functions.
 */
object LargeGangReservation {
    /** A gang that has waited this fraction of the start objective may have machines reserved for it. */
    private const val OVERDUE_FRACTION = 0.2

    /**
     * Returns the time, in wall-clock milliseconds, before which a gang must have been submitted to get a reservation.
     */
    fun overdueBeforeMs(nowMs: Long): Long =
        nowMs - (JobOrder.START_OBJECTIVE_S * OVERDUE_FRACTION * MILLIS_PER_SECOND).toLong()

    /** Returns the largest gang submitted before [overdueBeforeMs], or the oldest of several equally large ones. */
    fun selectGang(waiting: Collection<Job>, overdueBeforeMs: Long): Job? = waiting
        .filter { it.submittedMs < overdueBeforeMs && it.spec.taskCount > 1 && !it.isCrashLooping }
        .minWithOrNull(compareBy({ -it.spec.taskCount }, { it.submittedMs }, { it.id }))

    /**
     * Returns [ordered] with the gang [reservedFor] moved to the front. The fleet must scale out in the same order as
     * gangs are placed. Otherwise machines are reserved for one gang and scaled out for another, and neither starts.
     */
    fun withReservedFirst(reservedFor: Job?, ordered: List<Job>): List<Job> =
        listOfNotNull(reservedFor) + ordered.filter { it.id != reservedFor?.id }

    /**
     * Whether [job] yields its team's quota to [quotaBlocked], the selected gang, which waits only for that quota. Only
     * jobs of the same team that were submitted later do. No machines are reserved for such a gang, as it can't use
     * them.
     */
    fun yieldsQuotaTo(job: Job, quotaBlocked: Job): Boolean =
        job !== quotaBlocked && job.spec.team == quotaBlocked.spec.team && job.submittedMs > quotaBlocked.submittedMs

    /**
     * Returns [candidates] without the machines that are reserved for [job] at [nowMs]. Enough machines are reserved for all its
     * tasks. If it is bound to one zone, they are in the zone that fits most of its tasks. [afterEviction] are the same
     * candidates once all tasks that [job] may preempt have terminated.
     */
    fun withoutReserved(
        job: Job,
        candidates: List<PlacementCandidate>,
        afterEviction: List<PlacementCandidate>,
        nowMs: Long,
    ): List<PlacementCandidate> {
        val eligible = afterEviction.filter { it.fits(job, nowMs) }
        val usable = if (job.spec.sameZone) {
            eligible.groupBy { it.machine.zone }.values.maxByOrNull { zone -> countFitting(job, zone) }.orEmpty()
        } else {
            eligible
        }
        val reserved = HashSet<String>()
        var remaining = job.spec.taskCount
        for (candidate in usable.sortedWith(compareBy({ if (it.isEmpty) 0 else 1 }, { it.machine.name }))) {
            if (remaining <= 0) break
            reserved += candidate.machine.name
            remaining -= minOf(remaining, candidate.room.countFitting(job.spec))
        }
        return candidates.filter { it.machine.name !in reserved }
    }

    private fun countFitting(job: Job, candidates: List<PlacementCandidate>): Int {
        val taskCount = job.spec.taskCount
        return minOf(
            taskCount,
            candidates.sumOf { minOf(it.room.countFitting(job.spec), taskCount) },
        )
    }
}
