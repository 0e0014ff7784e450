package flaxfield.gangs

import flaxfield.MILLIS_PER_SECOND
import flaxfield.arrays.PlacementCandidate
import flaxfield.arrays.TopologyConstraint
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources
import flaxfield.quota.JobOrder

/**
 * Pure: room kept together for one large gang. Without it, each machine that came free went to a smaller
 * gang that fitted at once, and the largest ones waited for ever.
 */
object LargeGangReservation {
    /** A gang that has waited this share of [JobOrder.BEGIN_S] has room gathered for it. */
    private const val LATE_SHARE = 0.2

    /** Gangs submitted before this have room gathered for them. */
    fun overdueBeforeMs(nowMs: Long): Long = nowMs - (JobOrder.BEGIN_S * LATE_SHARE * MILLIS_PER_SECOND).toLong()

    /**
     * [ordered] with the gang that room is gathered for at its head. Whoever rents machines must keep to the same
     * order: room was kept for one gang and rented for another, and neither ever began.
     */
    fun first(gathers: Job?, ordered: List<Job>): List<Job> =
        listOfNotNull(gathers) + ordered.filter { it.id != gathers?.id }

    /** The gang to gather for: the largest of those submitted before [overdueBeforeMs], the oldest of these. */
    fun next(waiting: Collection<Job>, overdueBeforeMs: Long): Job? = waiting.filter {
        it.submittedMs < overdueBeforeMs &&
            it.spec.taskCount > 1 &&
            !it.isSuspect
    }
        .minWithOrNull(compareBy({ -it.spec.taskCount }, { it.submittedMs }, { it.id }))

    /**
     * Whether [job] leaves its team's limit to a gang that gathers and is kept from starting by that limit alone.
     * Machines were kept for such a gang instead, which it could not use, and an earlier gang of its team found none
     * for minutes.
     */
    fun yields(job: Job, atLimit: Job): Boolean =
        job !== atLimit && job.spec.team == atLimit.spec.team && job.submittedMs > atLimit.submittedMs

    /**
     * [candidates] less those that [job] will use: in the zone where it lacks the least, as many as it has tasks.
     * [cleared] are the same seats as they would be without the tasks that it may take the place of.
     */
    fun without(
        job: Job,
        candidates: List<PlacementCandidate>,
        cleared: List<PlacementCandidate>,
    ): List<PlacementCandidate> {
        val fit = cleared.filter { fits(job, it) }
        val zone = if (job.spec.sameZone) {
            fit.groupBy {
                it.machine.zone
            }.values.maxByOrNull { z -> tasks(job, z) }
        } else {
            fit
        }
        val kept = HashSet<String>()
        var left = job.spec.taskCount
        for (s in zone.orEmpty().sortedWith(compareBy({ if (it.empty) 0 else 1 }, { it.machine.name }))) {
            if (left <= 0) break
            kept += s.machine.name
            left -= s.free.countFitting(job.spec.taskResources)
        }
        return candidates.filter { it.machine.name !in kept }
    }

    private fun tasks(job: Job, candidates: List<PlacementCandidate>): Int {
        val most = job.spec.taskCount
        return minOf(most, candidates.sumOf { minOf(it.free.countFitting(job.spec.taskResources), most) })
    }

    private fun fits(job: Job, s: PlacementCandidate) =
        TopologyConstraint.allowsMachineKind(job.spec, s.machine.machineType, s.machine.zone, s.machine.preemptible) &&
            s.machine.name !in job.failedMachines &&
            s.free.canHold(job.spec.taskResources)
}

/**
 * Rounds of one run that fell short, so that gangs of the same shape, as large or larger, are not tried
 * again: a hundred of them parked cost the leader its whole share.
 */
class InfeasibleShapes {
    private data class Shape(
        val taskResources: Resources,
        val machineTypes: Set<String>?,
        val zone: String?,
        val sameZone: Boolean,
        val spreadAcrossZones: Boolean,
        val preemptible: Boolean,
        val rights: String,
    )

    private val shortAt = HashMap<Shape, Int>()

    /** Rounds that were really run. */
    var runs = 0
        private set

    /**
     * Runs [job]'s round over [candidates], unless one like it is known to be short. [rights] tells what was cleared.
     */
    fun run(job: Job, rights: String, candidates: () -> List<PlacementCandidate>): GangPlacementResult {
        // Machines that failed this very job narrow its round: it tells nothing of the others.
        if (job.failedMachines.isNotEmpty()) {
            runs++
            return GangPlacement.run(job, candidates())
        }
        val shape = shape(job.spec, rights)
        val known = shortAt[shape]
        if (known != null && job.spec.taskCount >= known) return GangPlacementResult.Infeasible(0, job.spec.taskCount)
        runs++
        val r = GangPlacement.run(job, candidates())
        if (r is GangPlacementResult.Infeasible) shortAt[shape] = job.spec.taskCount
        return r
    }

    private fun shape(s: JobSpec, rights: String) =
        Shape(s.taskResources, s.machineTypes, s.zone, s.sameZone, s.spreadAcrossZones, s.preemptible, rights)
}
