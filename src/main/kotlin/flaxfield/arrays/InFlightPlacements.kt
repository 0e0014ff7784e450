package flaxfield.arrays

import flaxfield.controller.TransactionSubmitter
import flaxfield.jobs.JobSpec

/**
 * Tracks placements that were submitted but are not in the view yet. Their resources are subtracted from the candidates
 * of later attempts. Otherwise the next job is placed on the same resources, and the worker rejects its tasks. Confined
 * to the owner thread.
 */
class InFlightPlacements(private val transactions: TransactionSubmitter) {
    private class Placement(val keys: List<String>, val machineNames: List<String>, val spec: JobSpec)

    private val byJob = HashMap<String, Placement>()

    /** Whether a placement of the job is in flight. */
    operator fun contains(jobId: String): Boolean = jobId in byJob

    /** Adds a placement that writes [keys], with one machine name for each task of [spec]. */
    fun add(spec: JobSpec, keys: List<String>, machineNames: List<String>) {
        byJob[spec.id] = Placement(keys, machineNames, spec)
    }

    /** Removes the placements whose keys have no pending writes any more. */
    fun removeCompleted() {
        byJob.values.removeIf { placement -> placement.keys.none(transactions::isWritePending) }
    }

    /** Subtracts the placements in flight from [candidates]. */
    fun assumeOn(candidates: List<PlacementCandidate>) {
        if (byJob.isEmpty()) return
        val byMachine = candidates.associateBy { it.machine.name }
        for (placement in byJob.values) {
            for (machineName in placement.machineNames) {
                byMachine[machineName]?.assume(placement.spec)
            }
        }
    }
}
