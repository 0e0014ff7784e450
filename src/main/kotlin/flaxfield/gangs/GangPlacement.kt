package flaxfield.gangs

import flaxfield.arrays.PlacementCandidate
import flaxfield.arrays.TopologyConstraint
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec

/** The outcome of one placement attempt for one gang. */
sealed interface GangPlacementResult {
    /** Every member has a machine. [candidates], by task index, have the members' resources subtracted. */
    data class Feasible(val candidates: Map<Int, PlacementCandidate>) : GangPlacementResult {
        /** Whether all machines have the image of [spec] cached. */
        fun hasImage(spec: JobSpec): Boolean = candidates.values.all { spec.image in it.images }

        /** Returns the number of members on each candidate. */
        fun tasksByCandidate(): Map<PlacementCandidate, Int> = candidates.values.groupingBy { it }.eachCount()

        /** Returns the assumed resources of [spec]'s tasks to the candidates. */
        fun release(spec: JobSpec) {
            for ((candidate, count) in tasksByCandidate()) candidate.release(spec, count)
        }
    }

    /**
     * The minimum number of members can't be placed. The attempt assumed machines for [assumed] tasks, has returned
     * their resources, and did not try [untriedTasks] further tasks.
     */
    data class Infeasible(val assumed: Int, val untriedTasks: Int) : GangPlacementResult
}

/** Places a gang all-or-nothing, and stops an attempt as soon as it can no longer succeed. Pure functions. */
object GangPlacement {
    /** Whether the number of [listed] members reaches the minimum of [job]. */
    fun hasAllMembers(job: Job, listed: Int = job.spec.taskCount): Boolean = listed >= minMembers(job)

    /** Returns the number of members that must be placed at once. */
    fun minMembers(job: Job): Int = job.spec.taskCount

    /**
     * Assumes a machine for each task of [job] at [nowMs], machine by machine, and stops once the assumed plus the untried
     * tasks are fewer than the minimum. For a gang bound to one zone, tries the zones one by one: first those with a machine that has its image,
     * then those with the most candidates.
     */
    fun place(job: Job, candidates: List<PlacementCandidate>, nowMs: Long): GangPlacementResult {
        val spec = job.spec
        val eligible = candidates.filter { it.fits(job, nowMs) }
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
        // Stops before the first task if the free resources alone show that the minimum can't be reached. They don't
        // determine the result for a gang that is spread over zones.
        val fitting = eligible.sumOf { minOf(it.room.countFitting(spec), spec.taskCount) }
        if (fitting < minimum && !spec.spreadAcrossZones) {
            return GangPlacementResult.Infeasible(fitting, minimum - fitting - 1)
        }
        val topology = TopologyConstraint(spec, emptyList())
        val assumed = LinkedHashMap<Int, PlacementCandidate>()
        for (candidate in eligible.sortedWith(preferenceOrder(spec))) {
            val zone = candidate.machine.zone
            val remaining = spec.taskCount - assumed.size
            val count = minOf(remaining, candidate.room.countFitting(spec), topology.maxMoreTasks(zone))
            if (count <= 0) continue
            candidate.assume(spec, count)
            topology.add(zone, count)
            repeat(count) { assumed[assumed.size] = candidate }
            if (assumed.size == spec.taskCount) break
        }
        val result = GangPlacementResult.Feasible(assumed)
        if (assumed.size >= minimum) return result
        result.release(spec)
        return GangPlacementResult.Infeasible(assumed.size, spec.taskCount - assumed.size - 1)
    }

    /** Prefers machines with the image, then empty machines, then spot machines where allowed, then the fullest. */
    private fun preferenceOrder(spec: JobSpec) = compareBy<PlacementCandidate> { if (spec.image in it.images) 0 else 1 }
        .thenBy { if (it.isEmpty) 0 else 1 }
        .thenBy { if (spec.preemptible && !it.machine.preemptible) 1 else 0 }
        .thenBy { it.free.gpus }
        .thenBy { it.free.cpus }
        .thenBy { it.machine.name }
}
