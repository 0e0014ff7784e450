package flaxfield.gangs

import flaxfield.MILLIS_PER_SECOND
import flaxfield.arrays.PlacementCandidate
import flaxfield.jobs.Job
import flaxfield.quota.JobOrder

/**
 * Pure: machines reserved for one large gang at a time. Without it, each machine that comes free goes to a smaller gang
 * that fits at once, and the largest ones starve.
 */
object LargeGangReservation {
    /** A gang that has waited this fraction of the start objective may have machines reserved for it. */
    private const val OVERDUE_FRACTION = 0.2

    /** Gangs submitted before this may have machines reserved for them. */
    fun overdueBeforeMs(nowMs: Long): Long =
        nowMs - (JobOrder.START_OBJECTIVE_S * OVERDUE_FRACTION * MILLIS_PER_SECOND).toLong()

    /** The gang to reserve for: the largest of those submitted before [overdueBeforeMs], the oldest of these. */
    fun selectGang(waiting: Collection<Job>, overdueBeforeMs: Long): Job? = waiting
        .filter { it.submittedMs < overdueBeforeMs && it.spec.taskCount > 1 && !it.isCrashLooping }
        .minWithOrNull(compareBy({ -it.spec.taskCount }, { it.submittedMs }, { it.id }))

    /**
     * [ordered] with the gang that machines are reserved for at its head. The fleet must scale out in the same order as
     * gangs are placed: else machines are reserved for one gang and scaled out for another, and neither starts.
     */
    fun withReservedFirst(reservedFor: Job?, ordered: List<Job>): List<Job> =
        listOfNotNull(reservedFor) + ordered.filter { it.id != reservedFor?.id }

    /**
     * Whether [job] leaves its team's quota to [quotaBound], the selected gang that this quota alone keeps from
     * starting. Only younger jobs of its team do; machines are not reserved for a gang that can't use them.
     */
    fun leavesQuotaTo(job: Job, quotaBound: Job): Boolean =
        job !== quotaBound && job.spec.team == quotaBound.spec.team && job.submittedMs > quotaBound.submittedMs

    /**
     * [candidates] less those that [job] will use: in the zone where it lacks the least, as many as it has tasks.
     * [afterEviction] are the same machines as they would be without the tasks that it may preempt.
     */
    fun withoutReserved(
        job: Job,
        candidates: List<PlacementCandidate>,
        afterEviction: List<PlacementCandidate>,
    ): List<PlacementCandidate> {
        val eligible = afterEviction.filter { it.fits(job) }
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
            remaining -= candidate.free.countFitting(job.spec.taskResources)
        }
        return candidates.filter { it.machine.name !in reserved }
    }

    private fun countFitting(job: Job, candidates: List<PlacementCandidate>): Int {
        val taskCount = job.spec.taskCount
        return minOf(
            taskCount,
            candidates.sumOf { minOf(it.free.countFitting(job.spec.taskResources), taskCount) },
        )
    }
}
