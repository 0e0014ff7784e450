package flaxfield.fleet

import flaxfield.arrays.TopologyConstraint
import flaxfield.jobs.JobSpec

/** Decides whether tasks of a job may run on machines of a type and kind (spot or on-demand). */
fun interface MachineKindFilter {
    /** Whether tasks of [spec] may run on a machine of [machineType] that is [preemptible] or on-demand. */
    operator fun invoke(spec: JobSpec, machineType: String, preemptible: Boolean): Boolean
}

/** Computes a zone's load: its number of machines per controller. */
fun interface ZoneLoad {
    /** Returns the load of [zone] with [additionalMachines] more machines. */
    operator fun invoke(zone: String, additionalMachines: Int): Double
}

/**
 * Selects the offer with the lowest price per task that a new machine would run. Ties are broken by the lowest
 * [load] of the zone, then by the order of the machine types and their zones. Pure.
 *
 * [price] returns the hourly price of an offer, or null if it can't be rented now.
 */
class OfferSelector(
    private val machineTypes: Map<String, MachineType>,
    private val filter: MachineKindFilter,
    private val load: ZoneLoad = ZoneLoad { _, _ -> 0.0 },
    private val price: (Offer) -> Double?,
) {
    /** Returns the machine type of an [offer] that this selector has returned. */
    fun machineType(offer: Offer): MachineType = machineTypes.getValue(offer.machineType)

    /**
     * Returns the best offer for [tasks] more tasks of [demand] under its [topology] constraint, given the machines
     * already [planned]; null if no offer is suitable.
     */
    fun select(demand: CapacityDemand, tasks: Int, topology: TopologyConstraint, planned: Map<Offer, Int>): Offer? {
        val spec = demand.spec
        val kinds = machineKinds(demand)
        var best: Offer? = null
        var lowestCost = Double.MAX_VALUE
        var lowestLoad = Double.MAX_VALUE
        for (machineType in machineTypes.values) {
            val tasksPerMachine = tasksPerMachine(machineType, spec, tasks)
            if (tasksPerMachine <= 0) continue
            for (zone in machineType.zones) {
                if (!topology.allows(zone)) continue
                for (preemptible in kinds) {
                    if (!filter(spec, machineType.label, preemptible)) continue
                    val offer = Offer(machineType.label, zone, preemptible)
                    val cost = (price(offer) ?: continue) / tasksPerMachine
                    if (cost < lowestCost || cost == lowestCost && loadWith(zone, planned) < lowestLoad) {
                        best = offer
                        lowestCost = cost
                        lowestLoad = loadWith(zone, planned)
                    }
                }
            }
        }
        return best
    }

    private fun machineKinds(demand: CapacityDemand): List<Boolean> = when {
        !demand.spec.preemptible -> ON_DEMAND_ONLY
        demand.isUrgent -> SPOT_AND_ON_DEMAND
        else -> SPOT_ONLY
    }

    private fun tasksPerMachine(machineType: MachineType, spec: JobSpec, tasks: Int): Int {
        if (spec.machineTypes != null && machineType.label !in spec.machineTypes) return 0
        return minOf(machineType.capacity.countFitting(spec.taskResources), tasks)
    }

    private fun loadWith(zone: String, planned: Map<Offer, Int>): Double =
        load(zone, planned.entries.sumOf { (offer, count) -> if (offer.zone == zone) count else 0 })

    private companion object {
        /** Values of [Offer.preemptible] in the order in which they are considered. */
        val ON_DEMAND_ONLY = listOf(false)
        val SPOT_ONLY = listOf(true)
        val SPOT_AND_ON_DEMAND = listOf(true, false)
    }
}
