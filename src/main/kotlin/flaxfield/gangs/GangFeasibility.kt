package flaxfield.gangs

import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job

/** What one scheduling attempt for a gang comes to. */
sealed interface GangDecision {
    /** Reserve the machines of [placement]; with [evict] their owners preempt tasks on them first. */
    data class Reserve(val placement: GangPlacementResult.Feasible, val evict: Boolean) : GangDecision

    /** Try again later. No candidate's resources stay assumed. */
    data class BackOff(val reason: GangBackoffReason) : GangDecision
}

/** Decides whether and where a gang can start now, and whether others must be preempted for it. Writes nothing. */
class GangFeasibility(context: ControllerContext) {
    private val imageLocality = ImageLocality(context)

    /** The decision for [job], with the resources of a returned placement assumed on [cycle]'s candidates. */
    fun decide(job: Job, cycle: GangSchedulingCycle): GangDecision {
        if (cycle.usage.remainingTasks(job.spec.team, job.spec.taskResources) < job.spec.taskCount) {
            return GangDecision.BackOff(GangBackoffReason.TeamQuota)
        }
        val onFree = cycle.placeOnFree(job)
        if (onFree is GangPlacementResult.Feasible &&
            (onFree.hasImage(job.spec) || !imageLocality.isFetchSlow(job, onFree))
        ) {
            return GangDecision.Reserve(onFree, evict = false)
        }
        // Preemption is considered only without free resources, or where the image must be fetched for longer than
        // preempted tasks take to leave.
        val afterEviction = cycle.placeAfterEviction(job)
        val evict = afterEviction is GangPlacementResult.Feasible &&
            (onFree is GangPlacementResult.Infeasible || afterEviction.hasImage(job.spec))
        return when (val chosen = if (evict) afterEviction else onFree) {
            is GangPlacementResult.Infeasible -> GangDecision.BackOff(GangBackoffReason.Infeasible(chosen))
            is GangPlacementResult.Feasible -> {
                val delay = !chosen.hasImage(job.spec) && imageLocality.shouldDelay(job, chosen, cycle)
                if ((delay || evict) && onFree is GangPlacementResult.Feasible) onFree.release(job.spec)
                if (delay) {
                    GangDecision.BackOff(GangBackoffReason.ImageNotCached(job.spec.image))
                } else {
                    GangDecision.Reserve(chosen, evict)
                }
            }
        }
    }
}
