package flaxfield.fleet

import flaxfield.arrays.TopologyConstraint
import flaxfield.jobs.JobKind
import flaxfield.jobs.MachineRoom
import flaxfield.jobs.Resources

/** The state of one packing: the bins with free resources, and the machines used and added so far. Not reused. */
internal class PackingRun(
    private val offers: OfferSelector,
    private val filter: BinFilter,
    private val maxNewMachines: Int,
    bins: List<Bin>,
) {
    private val openBins = ArrayList(bins)
    private val usedMachines = HashSet<String>()
    private val newMachines = LinkedHashMap<Offer, Int>()
    private var newMachineCount = 0
    private val unmet = ArrayList<UnmetDemand>()
    private val zoneSelector = ZoneSelector(offers, filter)

    /** Returns the result of all placements so far. */
    fun result() = PackingResult(newMachines, usedMachines, unmet)

    /** Discards the bins that can't hold a task of [smallestRequest], which is reported in [smallestReportBytes]. */
    fun closeBins(smallestRequest: Resources, smallestReportBytes: Int) {
        openBins.removeIf {
            it.room.reportBytes < smallestReportBytes || !it.room.resources.canHold(smallestRequest)
        }
    }

    /** Places the tasks of [demand] into open bins, and adds machines for the rest. */
    fun place(demand: CapacityDemand) {
        val choice = zoneSelector.select(demand, openBins, newMachines)
        val isGang = demand.spec.jobKind == JobKind.GANG
        if (isGang && !choice.isSufficient && !demand.mayHoldMachines) {
            unmet += UnmetDemand(demand.spec.id, demand.tasks, choice.zone)
            return
        }
        val topology = TopologyConstraint(demand.spec, demand.placedZones)
        choice.zone?.let(topology::require)
        val unplaced = placeTasks(demand, topology)
        if (unplaced > 0 && newMachineCount < maxNewMachines) {
            unmet += UnmetDemand(demand.spec.id, unplaced, choice.zone)
        }
    }

    /** Places the tasks of [demand] under [topology]. Returns the number of tasks for which no machine was found. */
    private fun placeTasks(demand: CapacityDemand, topology: TopologyConstraint): Int {
        val spec = demand.spec
        var remaining = demand.tasks
        var index = 0
        while (remaining > 0) {
            index = firstFitFrom(index, demand, topology)
            if (index >= openBins.size) openBins += addMachine(demand, remaining, topology) ?: return remaining
            val bin = openBins[index]
            // With a spread constraint, each placed task may change the zones allowed for the next one.
            val maxTasks = if (spec.spreadAcrossZones) 1 else remaining
            val placed = minOf(maxTasks, bin.room.countFitting(spec))
            bin.assume(spec, placed)
            bin.machineName?.let(usedMachines::add)
            topology.add(bin.zone)
            remaining -= placed
        }
        return 0
    }

    /** Returns the index of the first bin from [start] on that fits a task of [demand], or the number of bins. */
    private fun firstFitFrom(start: Int, demand: CapacityDemand, topology: TopologyConstraint): Int {
        var index = start
        while (index < openBins.size && !filter.accepts(openBins[index], demand, topology)) index++
        return index
    }

    /** Adds a machine for [tasks] tasks of [demand]; null if the limit is reached or no offer is suitable. */
    private fun addMachine(demand: CapacityDemand, tasks: Int, topology: TopologyConstraint): Bin? {
        if (newMachineCount >= maxNewMachines) return null
        val offer = offers.select(demand, tasks, topology, newMachines) ?: return null
        newMachines.merge(offer, 1, Int::plus)
        newMachineCount++
        val room = MachineRoom(offers.machineType(offer).capacity)
        return Bin(null, offer.machineType, offer.zone, offer.preemptible, room)
    }
}
