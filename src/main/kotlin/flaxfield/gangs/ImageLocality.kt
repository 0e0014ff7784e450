package flaxfield.gangs

import flaxfield.MILLIS_PER_SECOND
import flaxfield.arrays.TopologyConstraint
import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job

/** Decides whether a gang waits for machines that have its image rather than fetch it elsewhere. Pure functions. */
object ImageLocalityDelay {
    /**
     * Whether a gang should wait. It should if fetching the image misses the tightest of [objectivesS], a start without
     * the fetch can still meet it, and enough machines with the image are in use. [busyMachines] is the
     * number of these machines, and [competingTasks] the number of tasks that wait for one.
     */
    fun shouldDelay(
        ageS: Double,
        fetchS: Double,
        objectivesS: List<Double>,
        busyMachines: Int,
        competingTasks: Int,
    ): Boolean {
        val tightestS = objectivesS.minOrNull() ?: return false
        return ageS + fetchS > tightestS &&
            ageS < tightestS * MAX_DELAY_FRACTION &&
            busyMachines >= competingTasks * BUSY_MACHINES_PER_TASK
    }

    /** After this fraction of the objective the gang takes machines without its image. */
    private const val MAX_DELAY_FRACTION = 0.9

    /** Of this many machines in use, one is likely to become free in time. */
    private const val BUSY_MACHINES_PER_TASK = 2
}

/** Evaluates gang placements on machines that don't have the job's image, based on the cluster view. */
class ImageLocality(private val context: ControllerContext) {
    /** Whether fetching the image takes longer than preempted tasks take to save a checkpoint and terminate. */
    fun isFetchSlow(job: Job, placement: GangPlacementResult.Feasible): Boolean = fetchTimeS(job, placement) >
        context.settings.workers.heartbeatIntervalS * GangReservations.EVICTION_HEARTBEATS

    /** Whether [job] should wait for machines with its image rather than take [placement]. */
    fun shouldDelay(job: Job, placement: GangPlacementResult.Feasible, cycle: GangSchedulingCycle): Boolean {
        val objectivesS = context.settings.objectives
            .filter { it.kind == START_OBJECTIVE && it.jobClass == job.spec.jobClass }
            .map { it.withinS }
        val busyMachines = cycle.machinesWithGangs.count { (machine, status) ->
            job.spec.image in status.images && TopologyConstraint.allowsMachine(job.spec, machine)
        }
        val competing = context.view.jobs.values.filter {
            it.isGang && !it.cancelled && it.placedCount == 0 && it.spec.image == job.spec.image
        }
        return ImageLocalityDelay.shouldDelay(
            (context.nowMs - job.submittedMs) / MILLIS_PER_SECOND,
            fetchTimeS(job, placement),
            objectivesS,
            busyMachines,
            competing.sumOf { it.spec.taskCount },
        )
    }

    /** Returns the time to fetch the image in seconds, on the slowest of the placement's machine types. */
    private fun fetchTimeS(job: Job, placement: GangPlacementResult.Feasible): Double {
        val slowestGbPerS = placement.candidates.values
            .mapNotNull { context.view.machineTypes[it.machine.machineType]?.fetchGbPerS }
            .minOrNull() ?: return 0.0
        return job.spec.imageGb / slowestGbPerS
    }

    private companion object {
        /** The kind of service-level objective that bounds the time until a job starts. */
        const val START_OBJECTIVE = "wait"
    }
}
