package flaxfield.gangs

import flaxfield.arrays.PlacementCandidate
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources

/**
 * Placement attempts of one scheduling cycle that were infeasible, so that gangs of the same shape, as large or larger,
 * are not tried again: with a hundred of them waiting, the attempts would take the leader's whole time.
 */
class InfeasibleShapes {
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
    private val infeasibleTaskCounts = HashMap<Shape, Int>()

    /** How many attempts were really made. */
    var attempts = 0
        private set

    /**
     * Places [job] on [candidates], unless one like it is known to be infeasible. [scope] tells which tasks the
     * candidates are thought to be rid of; null if none.
     */
    fun place(job: Job, scope: PreemptionScope?, candidates: () -> List<PlacementCandidate>): GangPlacementResult {
        // Machines that failed this very job narrow its attempt: the result tells nothing of other jobs.
        if (job.failedMachines.isNotEmpty()) {
            attempts++
            return GangPlacement.place(job, candidates())
        }
        val shape = shapeOf(job.spec, scope)
        val infeasibleFrom = infeasibleTaskCounts[shape]
        if (infeasibleFrom != null && job.spec.taskCount >= infeasibleFrom) {
            return GangPlacementResult.Infeasible(0, job.spec.taskCount)
        }
        attempts++
        val result = GangPlacement.place(job, candidates())
        if (result is GangPlacementResult.Infeasible) infeasibleTaskCounts[shape] = job.spec.taskCount
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
