package flaxfield.gangs

import flaxfield.arrays.PlacementCandidate
import flaxfield.arrays.TopologyConstraint
import flaxfield.jobs.Job

/** The outcome of one round for one gang. */
sealed interface GangPlacementResult {
    /** Every member has a seat. */
    data class Feasible(val candidates: Map<Int, PlacementCandidate>) : GangPlacementResult

    /** The minimum can't be reached; all assumed room has been given back. */
    data class Infeasible(val assumed: Int, val left: Int) : GangPlacementResult
}

/** Pure: whether a gang should rather wait for a machine with its image than fetch it elsewhere. */
object ImageLocalityDelay {
    /**
     * True if a start with the fetch would miss the tightest of [aimsS] anyway, there is time left to meet it
     * without, and enough machines with the image are in use: [busyWarm] for [rivals] tasks that want one.
     */
    fun waits(ageS: Double, fetchS: Double, aimsS: List<Double>, busyWarm: Int, rivals: Int): Boolean {
        val tight = aimsS.minOrNull() ?: return false
        return ageS + fetchS > tight && ageS < tight * LAST_CALL && busyWarm >= rivals * CHANCES
    }

    /** After this share of the aim the gang takes what there is. */
    private const val LAST_CALL = 0.9

    /** Of this many machines in use one is likely free again in time. */
    private const val CHANCES = 2
}

/** Pure: the gang's count gate and its one round with early stop. */
object GangPlacement {
    /** The gate: the record must list at least the minimum count of tasks. */
    fun gate(job: Job, listed: Int = job.spec.taskCount): Boolean = listed >= minimum(job)

    /** Starts at the task count; a later request to lower it would come in here. */
    fun minimum(job: Job): Int = job.spec.taskCount

    /**
     * Assumes a seat for each task in turn and stops once tasks left plus tasks assumed fall below the
     * minimum. With `same_place` each zone is tried, the one with the most free seats first.
     */
    fun run(job: Job, candidates: List<PlacementCandidate>): GangPlacementResult {
        val spec = job.spec
        val fit = candidates.filter {
            TopologyConstraint.allowsMachineKind(
                spec,
                it.machine.machineType,
                it.machine.zone,
                it.machine.preemptible,
            ) &&
                it.machine.name !in job.failedMachines &&
                it.free.canHold(spec.taskResources)
        }
        if (!spec.sameZone) return oneRound(job, fit)
        var best = GangPlacementResult.Infeasible(0, spec.taskCount)
        val zones = fit.groupBy { it.machine.zone }.values
            .sortedWith(
                compareByDescending<List<PlacementCandidate>> { z ->
                    z.any { spec.image in it.images }
                }.thenByDescending { it.size },
            )
        for (zone in zones) {
            when (val r = oneRound(job, zone)) {
                is GangPlacementResult.Feasible -> return r
                is GangPlacementResult.Infeasible -> if (r.assumed > best.assumed) best = r
            }
        }
        return best
    }

    private fun oneRound(job: Job, fit: List<PlacementCandidate>): GangPlacementResult {
        val spec = job.spec
        val rule = TopologyConstraint(spec, emptyList())
        val assumed = LinkedHashMap<Int, PlacementCandidate>()
        val minimum = minimum(job)
        // Early stop before the first task: without scatter the seats' room alone tells that the minimum is out of
        // reach.
        val room = fit.sumOf { minOf(it.free.countFitting(spec.taskResources), spec.taskCount) }
        if (room < minimum && !spec.spreadAcrossZones) return GangPlacementResult.Infeasible(room, minimum - room - 1)
        val order = fit.sortedWith(
            compareBy<PlacementCandidate> { if (spec.image in it.images) 0 else 1 }
                .thenBy { if (it.empty) 0 else 1 }
                .thenBy { if (spec.preemptible && !it.machine.preemptible) 1 else 0 }
                .thenBy { it.free.gpus }
                .thenBy { it.free.cpus }
                .thenBy { it.machine.name },
        )
        for (task in 0 until spec.taskCount) {
            val candidate = order.firstOrNull { it.free.canHold(spec.taskResources) && rule.allows(it.machine.zone) }
            if (candidate != null) {
                candidate.free -= spec.taskResources
                rule.add(candidate.machine.zone)
                assumed[task] = candidate
            }
            val left = spec.taskCount - task - 1
            if (left + assumed.size < minimum) {
                for (s in assumed.values) s.free += spec.taskResources
                return GangPlacementResult.Infeasible(assumed.size, left)
            }
        }
        return GangPlacementResult.Feasible(assumed)
    }
}
