package flaxfield.gangs

import flaxfield.arrays.PlacementCandidate
import flaxfield.arrays.TopologyConstraint
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec

/** The outcome of one placement attempt for one gang. */
sealed interface GangPlacementResult {
    /** Every member has a machine, by task index; their resources are taken from the candidates. */
    data class Feasible(val candidates: Map<Int, PlacementCandidate>) : GangPlacementResult {
        /** Whether all machines hold the image of [spec]. */
        fun hasImage(spec: JobSpec): Boolean = candidates.values.all { spec.image in it.images }

        /** Returns the assumed resources of [spec]'s tasks to the candidates. */
        fun release(spec: JobSpec) {
            for (candidate in candidates.values) candidate.free += spec.taskResources
        }
    }

    /** The minimum can't be reached; all assumed resources have been returned. [left] tasks were not tried. */
    data class Infeasible(val assumed: Int, val left: Int) : GangPlacementResult
}

/** Pure: all-or-nothing placement of a gang, with an early stop. */
object GangPlacement {
    /** Whether the record lists at least the minimum count of members. */
    fun hasAllMembers(job: Job, listed: Int = job.spec.taskCount): Boolean = listed >= minMembers(job)

    /** How many members must be placed at once. */
    fun minMembers(job: Job): Int = job.spec.taskCount

    /**
     * Assumes a machine for each task in turn and stops once tasks left plus tasks assumed fall below the minimum.
     * For a gang bound to one zone each zone is tried: those with its image first, then those with most candidates.
     */
    fun place(job: Job, candidates: List<PlacementCandidate>): GangPlacementResult {
        val spec = job.spec
        val eligible = candidates.filter { it.fits(job) }
        if (!spec.sameZone) return placeWithin(job, eligible)
        var best = GangPlacementResult.Infeasible(0, spec.taskCount)
        val imageFirst = compareByDescending<List<PlacementCandidate>> { zone -> zone.any { spec.image in it.images } }
        val zones = eligible.groupBy { it.machine.zone }.values.sortedWith(imageFirst.thenByDescending { it.size })
        for (zone in zones) {
            when (val result = placeWithin(job, zone)) {
                is GangPlacementResult.Feasible -> return result
                is GangPlacementResult.Infeasible -> if (result.assumed > best.assumed) best = result
            }
        }
        return best
    }

    private fun placeWithin(job: Job, eligible: List<PlacementCandidate>): GangPlacementResult {
        val spec = job.spec
        val minimum = minMembers(job)
        // Stops before the first task where the free resources alone tell that the minimum is out of reach; with a
        // spread over zones they don't.
        val fitting = eligible.sumOf { minOf(it.free.countFitting(spec.taskResources), spec.taskCount) }
        if (fitting < minimum && !spec.spreadAcrossZones) {
            return GangPlacementResult.Infeasible(fitting, minimum - fitting - 1)
        }
        val topology = TopologyConstraint(spec, emptyList())
        val assumed = LinkedHashMap<Int, PlacementCandidate>()
        val ordered = eligible.sortedWith(preferenceOrder(spec))
        for (task in 0 until spec.taskCount) {
            val candidate = ordered.firstOrNull {
                it.free.canHold(spec.taskResources) && topology.allows(it.machine.zone)
            }
            if (candidate != null) {
                candidate.free -= spec.taskResources
                topology.add(candidate.machine.zone)
                assumed[task] = candidate
            }
            val left = spec.taskCount - task - 1
            if (left + assumed.size < minimum) {
                for (taken in assumed.values) taken.free += spec.taskResources
                return GangPlacementResult.Infeasible(assumed.size, left)
            }
        }
        return GangPlacementResult.Feasible(assumed)
    }

    /** Machines with the image first, then empty ones, then spot machines where allowed, then the fullest. */
    private fun preferenceOrder(spec: JobSpec) = compareBy<PlacementCandidate> { if (spec.image in it.images) 0 else 1 }
        .thenBy { if (it.isEmpty) 0 else 1 }
        .thenBy { if (spec.preemptible && !it.machine.preemptible) 1 else 0 }
        .thenBy { it.free.gpus }
        .thenBy { it.free.cpus }
        .thenBy { it.machine.name }
}
