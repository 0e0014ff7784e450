package flaxfield.gangs

import flaxfield.MILLIS_PER_SECOND
import flaxfield.arrays.TopologyConstraint
import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job

/** Pure: whether a gang is better off waiting for a machine with its image than fetching the image elsewhere. */
object ImageLocalityDelay {
    /**
     * True if a start with the fetch would miss the tightest of [objectivesS] anyway, there is time left to meet it
     * without, and enough machines with the image are in use: [busyMachines] for [competingTasks] that want one.
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

    /** After this fraction of the objective the gang takes what there is. */
    private const val MAX_DELAY_FRACTION = 0.9

    /** Of this many machines in use one is likely free again in time. */
    private const val BUSY_MACHINES_PER_TASK = 2
}

/** Judges gang placements on machines without the job's image by the cluster view. */
class ImageLocality(private val context: ControllerContext) {
    /** Whether fetching the image takes longer than preempted tasks take to save and leave. */
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

    /** Seconds to fetch the image, at the slowest of the placement's machine types. */
    private fun fetchTimeS(job: Job, placement: GangPlacementResult.Feasible): Double {
        val slowestGbPerS = placement.candidates.values
            .mapNotNull { context.view.machineTypes[it.machine.machineType]?.fetchGbPerS }
            .minOrNull() ?: return 0.0
        return job.spec.imageGb / slowestGbPerS
    }

    private companion object {
        /** The kind of service-level objective that bounds a job's time to its start. */
        const val START_OBJECTIVE = "wait"
    }
}
