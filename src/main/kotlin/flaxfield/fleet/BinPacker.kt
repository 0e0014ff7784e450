package flaxfield.fleet

import flaxfield.arrays.TopologyConstraint
import flaxfield.jobs.JobSpec
import flaxfield.jobs.MachineRoom
import flaxfield.jobs.Resources

/** The room on a machine that exists ([machineName] is set) or has been requested. */
class Bin(
    val machineName: String?,
    val machineType: String,
    val zone: String,
    val preemptible: Boolean,
    var room: MachineRoom,
) {
    /** Reduces the room by [count] tasks of [spec]. */
    fun assume(spec: JobSpec, count: Int) {
        room = room.minus(spec, count)
    }
}

/** The [tasks] of a demand for which neither a bin nor an offer was found, in [zone] if the demand was bound to it. */
data class UnmetDemand(val job: String, val tasks: Int, val zone: String?)

/**
 * The result of bin packing: the number of machines to rent per offer, the existing machines that are used, and the
 * demands that no machine and no offer can meet now.
 */
data class PackingResult(
    val newMachines: Map<Offer, Int>,
    val usedMachines: Set<String>,
    val unmet: List<UnmetDemand> = emptyList(),
)

/**
 * Packs capacity demands first-fit into existing and requested machines, and adds machines from [offers] for the rest.
 * At most [maxNewMachines] are added, which bounds the work for huge arrays. Does no I/O.
 */
class BinPacker(
    private val offers: OfferSelector,
    private val filter: MachineKindFilter,
    private val maxNewMachines: Int,
) {
    /** Packs [demands] into [bins], both in the given order, and reduces the bins' room accordingly. */
    fun pack(demands: List<CapacityDemand>, bins: List<Bin>): PackingResult {
        val run = PackingRun(offers, BinFilter(filter), maxNewMachines, bins)
        val smallestRequest = smallestRequest(demands)
        val smallestReportBytes = demands.minOfOrNull { it.spec.reportBytes } ?: 0
        for (demand in demands) {
            run.place(demand)
            // Without this, each further demand would scan all full bins again.
            run.closeBins(smallestRequest, smallestReportBytes)
        }
        return run.result()
    }

    /** Returns a lower bound on the resources that one task of any demand requests. */
    private fun smallestRequest(demands: List<CapacityDemand>) = Resources(
        demands.minOfOrNull { it.spec.taskResources.cpus } ?: 0.0,
        demands.minOfOrNull { it.spec.taskResources.gpus } ?: 0.0,
        demands.minOfOrNull { it.spec.taskResources.memoryGb } ?: 0.0,
    )
}

/** Decides which bins may hold tasks of a demand. The schedulers must admit the tasks to the same machines. */
internal class BinFilter(private val filter: MachineKindFilter) {
    /** Whether [bin] can hold one more task of [demand] under its [topology] constraint. */
    fun accepts(bin: Bin, demand: CapacityDemand, topology: TopologyConstraint): Boolean =
        TopologyConstraint.allowsMachineKind(demand.spec, bin.machineType, bin.zone, bin.preemptible) &&
            bin.machineName !in demand.excludedMachines &&
            (demand.isStarved && bin.machineName != null || filter(demand.spec, bin.machineType, bin.preemptible)) &&
            (bin.preemptible || demand.mayUseOnDemand) &&
            bin.room.canHold(demand.spec) &&
            topology.allows(bin.zone)
}
