package flaxfield.arrays

import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import flaxfield.jobs.JobTransactions
import flaxfield.store.StoreKeys

/** A submitted job with its tasks placed, and the conditions under which the placement is valid. */
class InitialPlacement(val job: Job, val conditions: Map<String, ULong>)

/** Places small arrays during submission, so that a single transaction accepts and places the job. */
class InitialPlacer(
    private val context: ControllerContext,
    private val arrayCandidates: ArrayCandidates,
    private val inFlight: InFlightPlacements,
) {
    /**
     * Returns a placement of all tasks of [job], or null if it must wait. It waits if another pending job, on any
     * shard, precedes it, if it is too large or does not fit, or if its team has a limit.
     */
    fun place(job: Job): InitialPlacement? {
        val term = context.leadership.term() ?: return null
        if (job.isGang || job.spec.taskCount > MAX_TASKS || isQuotaLimited(context, job)) return null
        if (!context.leadership.mayAct()) return null
        val usage = context.scheduling.teamUsage()
        val ordered = context.scheduling.schedulingOrder(pendingArrays(context) + job, usage)
        if (ordered.first() !== job) return null
        val eligible = arrayCandidates.eligible(job, arrayCandidates.list(job.spec.taskResources))
        val limits = ArrayPlacement.Limits(context.scheduling.admissibleTasks(job, usage))
        val topology = TopologyConstraint(job.spec, emptyList())
        val placement = ArrayPlacement.place(job, eligible, topology, firstTask = 0, limits, context.nowMs)
        if (placement.size < job.spec.taskCount) return null
        val placed = job.place(placement.mapValues { (_, candidate) -> candidate.target() })
        val machineNames = placement.values.map { it.machine.name }
        inFlight.add(job.spec, listOf(StoreKeys.JOB + job.id), machineNames)
        val conditions = JobTransactions.update(job, placed, term).conditions + machineVersions(placement.values)
        return InitialPlacement(placed, conditions)
    }

    private companion object {
        /** The maximum number of tasks of a job that the accepting transaction may also place. */
        const val MAX_TASKS = 4
    }
}
