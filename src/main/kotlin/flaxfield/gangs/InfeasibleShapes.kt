package flaxfield.gangs

import flaxfield.arrays.PlacementCandidate
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources

/**
 * Caches the infeasible placement attempts of one scheduling cycle, which runs at [nowMs], so that equally large or larger gangs of the same
 * shape are not tried again. With a hundred such gangs waiting, the attempts would take all of the leader's time.
 */
class InfeasibleShapes(private val nowMs: Long) {
    private data class Shape(
        val taskResources: Resources,
        val machineTypes: Set<String>?,
        val zone: String?,
        val sameZone: Boolean,
        val spreadAcrossZones: Boolean,
        val preemptible: Boolean,
        val scope: PreemptionScope?,
    )

    /** The smallest task count that is known to be infeasible, by shape. */
    private val minInfeasibleTaskCounts = HashMap<Shape, Int>()

    /** The number of attempts made, without those answered from the cache. */
    var attempts = 0
        private set

    /**
     * Places [job] on [candidates], unless its shape and size are known to be infeasible. [scope] determines which
     * tasks the candidates count as evicted; null if they count none.
     */
    fun place(job: Job, scope: PreemptionScope?, candidates: () -> List<PlacementCandidate>): GangPlacementResult {
        // The attempt skips the machines that this job excludes, so its result does not apply to other jobs.
        if (job.excludedMachines(nowMs).isNotEmpty()) {
            attempts++
            return GangPlacement.place(job, candidates(), nowMs)
        }
        val shape = shapeOf(job.spec, scope)
        val minInfeasibleTaskCount = minInfeasibleTaskCounts[shape]
        if (minInfeasibleTaskCount != null && job.spec.taskCount >= minInfeasibleTaskCount) {
            return GangPlacementResult.Infeasible(0, job.spec.taskCount)
        }
        attempts++
        val result = GangPlacement.place(job, candidates(), nowMs)
        if (result is GangPlacementResult.Infeasible) minInfeasibleTaskCounts[shape] = job.spec.taskCount
        return result
    }

    private fun shapeOf(spec: JobSpec, scope: PreemptionScope?) = Shape(
        spec.taskResources,
        spec.machineTypes,
        spec.zone,
        spec.sameZone,
        spec.spreadAcrossZones,
        spec.preemptible,
        scope,
    )
}
