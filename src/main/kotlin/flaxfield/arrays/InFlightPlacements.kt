package flaxfield.arrays

import flaxfield.controller.TransactionSubmitter
import flaxfield.jobs.Resources

/**
 * Placements that were sent and that the view does not show yet. Their resources are taken from the candidates of later
 * attempts: else the next job is placed on the same resources and its tasks are refused by the worker. Owned by the
 * owner thread.
 */
class InFlightPlacements(private val transactions: TransactionSubmitter) {
    private class Placement(val keys: List<String>, val machineNames: List<String>, val resourcesPerTask: Resources)

    private val byJob = HashMap<String, Placement>()

    /** Whether a placement of the job is in flight. */
    operator fun contains(jobId: String): Boolean = jobId in byJob

    /** Notes a placement that changes [keys], with one machine name for each task of [resourcesPerTask]. */
    fun add(jobId: String, keys: List<String>, machineNames: List<String>, resourcesPerTask: Resources) {
        byJob[jobId] = Placement(keys, machineNames, resourcesPerTask)
    }

    /** Drops the placements that the view shows now. */
    fun releaseSettled() {
        byJob.values.removeIf { placement -> placement.keys.none(transactions::isWritePending) }
    }

    /** Takes from [candidates] what the placements in flight use. */
    fun assumeOn(candidates: List<PlacementCandidate>) {
        if (byJob.isEmpty()) return
        val byMachine = candidates.associateBy { it.machine.name }
        for (placement in byJob.values) {
            for (machineName in placement.machineNames) {
                val candidate = byMachine[machineName] ?: continue
                candidate.free -= placement.resourcesPerTask
                candidate.taskSlots--
            }
        }
    }
}
