package flaxfield.fleet

import flaxfield.arrays.TopologyConstraint
import flaxfield.jobs.Resources

/** The free resources of a machine that exists ([machineName] is set) or has been requested. */
class Bin(
    val machineName: String?,
    val machineType: String,
    val zone: String,
    val preemptible: Boolean,
    var free: Resources,
)

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
    /** Packs [demands] into [bins], both in the given order, and reduces the bins' free resources accordingly. */
    fun pack(demands: List<CapacityDemand>, bins: List<Bin>): PackingResult =
        PackingRun(bins, smallestRequest(demands)).pack(demands)

    /** Returns a lower bound on the resources that one task of any demand requests. */
    private fun smallestRequest(demands: List<CapacityDemand>) = Resources(
        demands.minOfOrNull { it.spec.taskResources.cpus } ?: 0.0,
        demands.minOfOrNull { it.spec.taskResources.gpus } ?: 0.0,
        demands.minOfOrNull { it.spec.taskResources.memoryGb } ?: 0.0,
    )

    private inner class PackingRun(bins: List<Bin>, private val smallestRequest: Resources) {
        private val openBins = ArrayList(bins)
        private val usedMachines = HashSet<String>()
        private val newMachines = LinkedHashMap<Offer, Int>()
        private var newMachineCount = 0
        private val unmet = ArrayList<UnmetDemand>()

        fun pack(demands: List<CapacityDemand>): PackingResult {
            for (demand in demands) {
                place(demand)
                // Without this, each further demand would scan all full bins again.
                openBins.removeIf { !it.free.canHold(smallestRequest) }
            }
            return PackingResult(newMachines, usedMachines, unmet)
        }

        private fun place(demand: CapacityDemand) {
            val spec = demand.spec
            val topology = TopologyConstraint(spec, emptyList())
            val requiredZone = if (spec.sameZone && demand.tasks > 1) zoneWithMostCapacity(demand) else null
            var remaining = demand.tasks
            var index = 0
            while (remaining > 0) {
                index = firstFitFrom(index, demand, topology, requiredZone)
                if (index >= openBins.size) {
                    if (newMachineCount >= maxNewMachines) return
                    val machine = addMachine(demand, remaining, topology)
                    if (machine == null) {
                        unmet += UnmetDemand(spec.id, remaining, requiredZone)
                        return
                    }
                    openBins += machine
                    continue
                }
                val bin = openBins[index]
                // With a spread constraint, each placed task may change the zones allowed for the next one.
                val maxTasks = if (spec.spreadAcrossZones) 1 else remaining
                val placed = minOf(maxTasks, bin.free.countFitting(spec.taskResources))
                bin.free -= spec.taskResources * placed
                bin.machineName?.let(usedMachines::add)
                topology.add(bin.zone)
                remaining -= placed
            }
        }

        /** Returns the index of the first bin from [start] on that fits a task of [demand], or the number of bins. */
        private fun firstFitFrom(
            start: Int,
            demand: CapacityDemand,
            topology: TopologyConstraint,
            requiredZone: String?,
        ): Int {
            var index = start
            while (index < openBins.size) {
                val bin = openBins[index]
                if ((requiredZone == null || bin.zone == requiredZone) && accepts(bin, demand, topology)) break
                index++
            }
            return index
        }

        /** Adds a machine for [tasks] tasks of [demand]; null if no offer is suitable. */
        private fun addMachine(demand: CapacityDemand, tasks: Int, topology: TopologyConstraint): Bin? {
            val offer = offers.select(demand, tasks, topology, newMachines) ?: return null
            newMachines.merge(offer, 1, Int::plus)
            newMachineCount++
            return Bin(null, offer.machineType, offer.zone, offer.preemptible, offers.machineType(offer).capacity)
        }

        /** Returns the zone whose open bins fit the most tasks of the same-zone [demand]; null if no bin fits one. */
        private fun zoneWithMostCapacity(demand: CapacityDemand): String? {
            val topology = TopologyConstraint(demand.spec, emptyList())
            val tasksByZone = HashMap<String, Int>()
            for (bin in openBins) {
                if (!accepts(bin, demand, topology)) continue
                val tasks = minOf(demand.tasks, bin.free.countFitting(demand.spec.taskResources))
                tasksByZone.merge(bin.zone, tasks, Int::plus)
            }
            return tasksByZone.maxByOrNull { minOf(it.value, demand.tasks) }?.key
        }
    }

    private fun accepts(bin: Bin, demand: CapacityDemand, topology: TopologyConstraint): Boolean =
        TopologyConstraint.allowsMachineKind(demand.spec, bin.machineType, bin.zone, bin.preemptible) &&
            bin.machineName !in demand.excludedMachines &&
            (demand.isStarved && bin.machineName != null || filter(demand.spec, bin.machineType, bin.preemptible)) &&
            bin.free.canHold(demand.spec.taskResources) &&
            topology.allows(bin.zone)
}
