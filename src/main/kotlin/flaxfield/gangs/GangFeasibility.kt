package flaxfield.gangs

import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job

/** The outcome of one scheduling attempt for a gang. */
sealed interface GangDecision {
    /** Reserve the machines of [placement]. If [evict] is set, their shard owners preempt tasks on them first. */
    data class Reserve(val placement: GangPlacementResult.Feasible, val evict: Boolean) : GangDecision

    /** Try again after a backoff. No resources remain assumed on the candidates. */
    data class BackOff(val reason: GangBackoffReason) : GangDecision
}

/** Decides whether and where a gang can start now, and whether tasks must be preempted for it. Writes nothing. */
class GangFeasibility(context: ControllerContext) {
    private val imageLocality = ImageLocality(context)

    /** Returns the decision for [job]. The resources of a returned placement are assumed on [cycle]'s candidates. */
    fun decide(job: Job, cycle: GangSchedulingCycle): GangDecision {
        if (cycle.usage.remainingTasks(job.spec.team, job.spec.taskResources) < job.spec.taskCount) {
            return GangDecision.BackOff(GangBackoffReason.TeamQuota)
        }
        val withoutEviction = cycle.placeOnFreeResources(job)
        if (withoutEviction is GangPlacementResult.Feasible &&
            (withoutEviction.hasImage(job.spec) || !imageLocality.isFetchSlow(job, withoutEviction))
        ) {
            return GangDecision.Reserve(withoutEviction, evict = false)
        }
        // Preemption is considered only if free resources don't suffice, or if fetching the image takes longer than
        // preempted tasks take to terminate.
        val afterEviction = cycle.placeAfterEviction(job)
        val evict = afterEviction is GangPlacementResult.Feasible &&
            (withoutEviction is GangPlacementResult.Infeasible || afterEviction.hasImage(job.spec))
        return when (val chosen = if (evict) afterEviction else withoutEviction) {
            is GangPlacementResult.Infeasible -> GangDecision.BackOff(GangBackoffReason.Infeasible(chosen))
            is GangPlacementResult.Feasible -> {
                val delay = !chosen.hasImage(job.spec) && imageLocality.shouldDelay(job, chosen, cycle)
                if ((delay || evict) && withoutEviction is GangPlacementResult.Feasible) {
                    withoutEviction.release(job.spec)
                }
                if (delay) {
                    GangDecision.BackOff(GangBackoffReason.ImageNotCached(job.spec.image))
                } else {
                    GangDecision.Reserve(chosen, evict)
                }
            }
        }
    }
}
