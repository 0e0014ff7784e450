package flaxfield.fleet

import flaxfield.arrays.TopologyConstraint
import flaxfield.jobs.JobSpec
import flaxfield.jobs.MachineRoom
import java.util.TreeSet

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

/** Knows which offers the cloud has refused. */
fun interface OfferRefusals {
    /** Whether [offer] was refused, or granted only in part, less than [seconds] ago, and not granted in full since. */
    operator fun invoke(offer: Offer, seconds: Double): Boolean
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
    private val refusals: OfferRefusals = OfferRefusals { _, _ -> false },
    private val price: (Offer) -> Double?,
) {
    /** The zones in which machines are offered. */
    val zones: Set<String> = machineTypes.values.flatMapTo(TreeSet()) { it.zones }

    /** Returns the machine type of an [offer] that this selector has returned. */
    fun machineType(offer: Offer): MachineType = machineTypes.getValue(offer.machineType)

    /**
     * Returns the best offer for [tasks] more tasks of [demand] under its [topology] constraint, given the machines
     * already [planned]; null if no offer is suitable. Offers that were refused in the last [refusalMemoryS] are not.
     */
    fun select(
        demand: CapacityDemand,
        tasks: Int,
        topology: TopologyConstraint,
        planned: Map<Offer, Int>,
        refusalMemoryS: Double = 0.0,
    ): Offer? {
        var best: RankedOffer? = null
        for (machineType in machineTypes.values) {
            val tasksPerMachine = tasksPerMachine(machineType, demand.spec, tasks)
            if (tasksPerMachine <= 0) continue
            for (offer in suitableOffers(machineType, demand, topology)) {
                if (refusals(offer, refusalMemoryS)) continue
                val costPerTask = (price(offer) ?: continue) / tasksPerMachine
                val ranked = RankedOffer(offer, costPerTask, loadWith(offer.zone, planned))
                if (best == null || ranked < best) best = ranked
            }
        }
        return best?.offer
    }

    /** An offer with its price per task, and the load of its zone, which decides between equal prices. */
    private class RankedOffer(val offer: Offer, val costPerTask: Double, val zoneLoad: Double) :
        Comparable<RankedOffer> {
        override fun compareTo(other: RankedOffer): Int =
            compareValuesBy(this, other, { it.costPerTask }, { it.zoneLoad })
    }

    private fun suitableOffers(
        machineType: MachineType,
        demand: CapacityDemand,
        topology: TopologyConstraint,
    ): List<Offer> {
        val kinds = machineKinds(demand).filter { filter(demand.spec, machineType.label, it) }
        return machineType.zones.filter(topology::allows).flatMap { zone ->
            kinds.map { preemptible -> Offer(machineType.label, zone, preemptible) }
        }
    }

    private fun machineKinds(demand: CapacityDemand): List<Boolean> = when {
        !demand.spec.preemptible -> ON_DEMAND_ONLY
        demand.isUrgent -> SPOT_AND_ON_DEMAND
        else -> SPOT_ONLY
    }

    private fun tasksPerMachine(machineType: MachineType, spec: JobSpec, tasks: Int): Int {
        if (spec.machineTypes != null && machineType.label !in spec.machineTypes) return 0
        return minOf(MachineRoom(machineType.capacity).countFitting(spec), tasks)
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
