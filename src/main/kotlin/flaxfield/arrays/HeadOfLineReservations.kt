package flaxfield.arrays

import flaxfield.jobs.JobSpec
import flaxfield.jobs.MachineRoom
import flaxfield.jobs.Resources

/**
 * Reserves machines for a job at the head of the queue that waits for resources. Much smaller tasks are not admitted to
 * them. Without a reservation, smaller tasks take any resources that become free before they suffice for that job.
 * Created for each scheduling cycle. [capacityOf] returns the resources of an empty machine.
 */
class HeadOfLineReservations(private val capacityOf: (PlacementCandidate) -> Resources) {
    private val reservedFor = HashMap<String, JobSpec>()

    /** Whether a task of [spec] may be placed on [candidate]: it is not reserved, or is for tasks of similar size. */
    fun admits(spec: JobSpec, candidate: PlacementCandidate): Boolean {
        val reservedSpec = reservedFor[candidate.machine.name] ?: return true
        return !isMuchSmaller(spec, reservedSpec)
    }

    /**
     * Reserves machines for [tasks] tasks of [spec], among those for which [isSuitable] holds: the job may use them, once
     * they have free resources. Takes those with the most free resources first, and as many as can hold the tasks once
     * they are empty.
     */
    fun reserve(
        spec: JobSpec,
        tasks: Int,
        candidates: List<PlacementCandidate>,
        isSuitable: (PlacementCandidate) -> Boolean,
    ) {
        val eligible = candidates.filter {
            it.machine.name !in reservedFor && isSuitable(it)
        }
        var remaining = tasks
        for (candidate in eligible.sortedWith(MOST_FREE_FIRST)) {
            if (remaining <= 0) return
            reservedFor[candidate.machine.name] = spec
            remaining -= MachineRoom(capacityOf(candidate)).countFitting(spec).coerceAtLeast(1)
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
