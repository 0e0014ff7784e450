package flaxfield.fleet

import flaxfield.arrays.TopologyConstraint
import java.util.TreeMap

/** The zone that a demand is bound to, or null, and whether bins and rentable machines there can hold all its tasks. */
internal class ZoneChoice(val zone: String?, val isSufficient: Boolean)

/** Selects the zone for a demand whose tasks must all be in one zone. Pure. */
internal class ZoneSelector(private val offers: OfferSelector, private val filter: BinFilter) {
    /**
     * Returns the zone whose [bins] fit the most tasks of [demand], unless the rest can't be rented there and another
     * zone has or offers machines for all tasks. The cloud must not have refused that offer for a while: a partial grant
     * there would cost a second set of machines. [planned] are the machines that the plan adds already.
     */
    fun select(demand: CapacityDemand, bins: List<Bin>, planned: Map<Offer, Int>): ZoneChoice {
        val topology = TopologyConstraint(demand.spec, demand.placedZones)
        if (!demand.spec.sameZone || demand.tasks == 1) {
            // Only gangs that hold no machines any more need to know whether machines for all tasks can be found.
            val isSufficient = demand.mayHoldMachines ||
                countTasksByZone(demand, bins, topology).values.sum() >= demand.tasks ||
                canRent(demand, demand.tasks, topology, planned, 0.0)
            return ZoneChoice(null, isSufficient)
        }
        val tasksByZone = countTasksByZone(demand, bins, topology)
        val preferred = offers.select(demand, demand.tasks, topology, planned)?.zone
        val byCapacity = compareByDescending<String> { minOf(tasksByZone[it] ?: 0, demand.tasks) }
        val zones = (tasksByZone.keys + offers.zones.filter(topology::allows))
            .sortedWith(byCapacity.thenByDescending { it == preferred })
        val fullest = zones.firstOrNull() ?: return ZoneChoice(null, isSufficient = false)
        val sufficient = zones.firstOrNull {
            val leavesMachines = it != fullest && fullest in tasksByZone
            isSufficient(demand, it, tasksByZone[it] ?: 0, planned, if (leavesMachines) ZONE_CHANGE_S else 0.0)
        }
        return ZoneChoice(sufficient ?: fullest, sufficient != null)
    }

    /** Returns how many tasks of [demand] the [bins] of each zone fit. */
    private fun countTasksByZone(
        demand: CapacityDemand,
        bins: List<Bin>,
        topology: TopologyConstraint,
    ): Map<String, Int> {
        val tasksByZone = TreeMap<String, Int>()
        for (bin in bins) {
            if (!filter.accepts(bin, demand, topology)) continue
            val tasks = minOf(demand.tasks, bin.room.countFitting(demand.spec))
            tasksByZone.merge(bin.zone, tasks, Int::plus)
        }
        return tasksByZone
    }

    /**
     * Whether the bins in [zone], which fit [tasks] tasks of [demand], and machines that can be rented there hold all
     * its tasks. Offers that were refused in the last [refusalMemoryS] do not count.
     */
    private fun isSufficient(
        demand: CapacityDemand,
        zone: String,
        tasks: Int,
        planned: Map<Offer, Int>,
        refusalMemoryS: Double,
    ): Boolean {
        if (tasks >= demand.tasks) return true
        val topology = TopologyConstraint(demand.spec, demand.placedZones)
        topology.require(zone)
        return canRent(demand, demand.tasks - tasks, topology, planned, refusalMemoryS)
    }

    private fun canRent(
        demand: CapacityDemand,
        tasks: Int,
        topology: TopologyConstraint,
        planned: Map<Offer, Int>,
        refusalMemoryS: Double,
    ): Boolean {
        val memoryS = if (demand.mayHoldMachines) refusalMemoryS else maxOf(refusalMemoryS, RENEWED_ATTEMPT_S)
        return offers.select(demand, tasks, topology, planned, memoryS) != null
    }

    private companion object {
        /** A gang changes to a zone only if the cloud has not refused machines there for this long. */
        const val ZONE_CHANGE_S = 120.0

        /** A gang that holds no machines any more has some rented again this long after the cloud's last refusal. */
        const val RENEWED_ATTEMPT_S = 300.0
    }
}
