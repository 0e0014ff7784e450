package flaxfield.arrays

import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources

/**
 * Machines kept free of much smaller tasks while a job that precedes them waits for resources. Without it, each place
 * that comes free is too small for that job and is filled again at once. Made anew for each scheduling cycle;
 * [capacityOf] tells what a machine holds when it is empty.
 */
class HeadOfLineReservations(private val capacityOf: (PlacementCandidate) -> Resources) {
    private val holders = HashMap<String, JobSpec>()

    /** Whether a task of [spec] may go to [candidate]: it is not reserved, or only for tasks of about its size. */
    fun admits(spec: JobSpec, candidate: PlacementCandidate): Boolean {
        val holder = holders[candidate.machine.name] ?: return true
        return !isMuchSmaller(spec, holder)
    }

    /**
     * Reserves machines for [tasks] of [spec]: those with the most resources free, as many as hold the tasks once they
     * are empty, among those that are [suitable].
     */
    fun reserve(
        spec: JobSpec,
        tasks: Int,
        candidates: List<PlacementCandidate>,
        suitable: (PlacementCandidate) -> Boolean,
    ) {
        val eligible = candidates.filter {
            it.machine.name !in holders && TopologyConstraint.allowsMachine(spec, it.machine) && suitable(it)
        }
        var remaining = tasks
        for (candidate in eligible.sortedWith(MOST_FREE_FIRST)) {
            if (remaining <= 0) return
            holders[candidate.machine.name] = spec
            remaining -= capacityOf(candidate).countFitting(spec.taskResources).coerceAtLeast(1)
        }
    }

    private fun isMuchSmaller(spec: JobSpec, other: JobSpec): Boolean =
        spec.taskResources.cpus * MUCH_SMALLER_FACTOR <= other.taskResources.cpus &&
            spec.taskResources.gpus * MUCH_SMALLER_FACTOR <= other.taskResources.gpus

    private companion object {
        const val MUCH_SMALLER_FACTOR = 4

        val MOST_FREE_FIRST =
            compareBy<PlacementCandidate>({ -it.free.gpus }, { -it.free.cpus }, { it.machine.name })
    }
}
