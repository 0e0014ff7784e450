package flaxfield.fleet

import flaxfield.arrays.MachineHealth
import flaxfield.controller.ControllerContext
import flaxfield.jobs.Job
import flaxfield.jobs.MachineRoom

/**
 * Plans which machines to rent: packs the demand into existing and requested machines, requests the missing ones, and
 * records which machines are idle under the plan. Confined to the owner thread; only the leader uses it.
 */
class ScaleOutPlanner(
    private val context: ControllerContext,
    private val capacityPlanner: CapacityPlanner,
    private val scaleOut: ScaleOutReconciler,
    private val bootMonitor: BootMonitor,
    private val idleMachines: IdleMachines,
) {
    private val unmetDemands = UnmetDemandMonitor(context)

    /** Tracks how many more machines one plan may rent in each zone. */
    private inner class ZoneLimits {
        private val remaining = HashMap<String, Int>()

        fun remaining(zone: String): Int =
            remaining.getOrPut(zone) { context.zones?.rentableMachines(zone) ?: Int.MAX_VALUE }

        fun consume(zone: String, machines: Int) {
            remaining[zone] = remaining(zone) - machines
        }
    }

    /** Computes a plan, records the idle machines and requests the new ones. */
    fun run() {
        val nowNs = context.nowNs
        val limits = ZoneLimits()
        val plan = pack(limits)
        updateIdleMachines(plan.usedMachines, nowNs)
        unmetDemands.update(plan.unmet)
        for ((offer, wanted) in plan.newMachines) {
            val count = minOf(wanted, ScaleOutReconciler.MAX_PER_RENTAL, limits.remaining(offer.zone))
            if (count <= 0) continue
            limits.consume(offer.zone, count)
            scaleOut.request(offer, count)
        }
    }

    /** Discards the state of earlier plans; called when this process is no longer the leader. */
    fun reset() = unmetDemands.reset()

    private fun pack(limits: ZoneLimits): PackingResult {
        val bins = bins()
        val filter = MachineKindFilter(context.scheduling.reservations::isUnreservedFor)
        val offers = OfferSelector(context.view.machineTypes, filter, zoneLoad(), scaleOut::isRefusedWithin) {
            price(it, limits)
        }
        return BinPacker(offers, filter, maxNewMachines()).pack(capacityPlanner.demands(), bins)
    }

    /** Returns how many machines the cloud's rate limit allows to rent until the next plan; at least one rental. */
    private fun maxNewMachines(): Int {
        val planIntervalS = context.settings.workers.heartbeatIntervalS * PLAN_INTERVAL_HEARTBEATS
        val rentable = context.settings.cloudRps * ScaleOutReconciler.MAX_PER_RENTAL * planIntervalS
        return maxOf(ScaleOutReconciler.MAX_PER_RENTAL, rentable.toInt())
    }

    private fun price(offer: Offer, limits: ZoneLimits): Double? {
        val machineType = context.view.machineTypes[offer.machineType] ?: return null
        if (scaleOut.isRefused(offer) || limits.remaining(offer.zone) <= 0) return null
        return if (offer.preemptible) machineType.spotPricePerHour else machineType.onDemandPricePerHour
    }

    /** Returns the machines per controller: a zone with one of three controllers gets a third of the machines. */
    private fun zoneLoad(): ZoneLoad {
        val machines = context.view.machines.values.groupingBy { it.zone }.eachCount()
        val controllers = context.view.assignment?.members.orEmpty().groupingBy { it.zone }.eachCount()
        return ZoneLoad { zone, additionalMachines ->
            ((machines[zone] ?: 0) + additionalMachines).toDouble() / maxOf(1, controllers[zone] ?: 0)
        }
    }

    /**
     * Returns the room on existing and requested machines in packing order. Spot machines come first, since
     * each one used saves the wait for another machine to boot. Within a kind, machines with the most cached images
     * come first, so that the machines kept as spares are those on which tasks start soonest.
     */
    private fun bins(): List<Bin> {
        val bins = ArrayList<Bin>()
        context.view.machines.values.sortedBy { it.name }.mapNotNullTo(bins, ::bin)
        for (rental in context.view.rentals.values) {
            val capacity = context.view.machineTypes[rental.machineType]?.capacity ?: continue
            repeat(scaleOut.pendingMachines(rental)) {
                bins += Bin(null, rental.machineType, rental.zone, rental.preemptible, MachineRoom(capacity))
            }
        }
        val imageCounts = bins.associateWith { bin ->
            bin.machineName?.let(context.view::machineStatus)?.images?.size ?: 0
        }
        bins.sortWith(compareBy({ if (it.preemptible) 0 else 1 }, { -imageCounts.getValue(it) }))
        return bins
    }

    private fun bin(machine: Machine): Bin? {
        if (!machine.isSchedulable || context.view.activeReservation(machine) != null) return null
        if (context.zones?.isReachable(machine) == false || !isUpOrBooting(machine)) return null
        val room = roomWithoutBackfill(machine) ?: return null
        return Bin(machine.name, machine.machineType, machine.zone, machine.preemptible, room)
    }

    /** Whether [machine] is up or still booting; a machine with an overdue boot is replaced. */
    private fun isUpOrBooting(machine: Machine): Boolean =
        when (context.view.machineStatus(machine.name)?.health ?: MachineHealth.UNSEEN) {
            MachineHealth.OK -> true
            MachineHealth.UNSEEN -> {
                val machineType = context.view.machineTypes[machine.machineType]
                machineType == null || bootMonitor.status(machine, machineType, context.nowMs) == BootStatus.BOOTING
            }
            else -> false
        }

    /** Returns the room on [machine] without its backfill tasks, which can be preempted. */
    private fun roomWithoutBackfill(machine: Machine): MachineRoom? {
        val room = context.view.room(machine) ?: return null
        return context.view.jobsOn(machine.name).filter { isBackfill(it, machine) }.fold(room) { sum, job ->
            sum.plus(job.spec, context.view.taskCountOn(machine.name, job.id))
        }
    }

    private fun isBackfill(job: Job, machine: Machine) =
        context.scheduling.reservations.isBackfill(job.spec, machine.machineType, machine.preemptible)

    private fun updateIdleMachines(usedMachines: Set<String>, nowNs: Long) {
        val view = context.view
        val hasArrayBacklog = hasArrayBacklog()
        for (machine in view.machines.values) {
            val isIdle = machine.isSchedulable &&
                machine.name !in usedMachines &&
                (view.isEmpty(machine.name) || !hasArrayBacklog && hasOnlyBackfill(machine)) &&
                view.machineStatus(machine.name)?.health == MachineHealth.OK
            idleMachines.update(machine.name, isIdle, nowNs)
        }
        idleMachines.retain(view.machines.keys)
    }

    /** Whether array tasks are waiting; if so, machines that run backfill only are worth their price. */
    private fun hasArrayBacklog(): Boolean = context.view.jobs.values.any {
        !it.isGang && !it.cancelled && it.pendingCount > 0 && it.retryAtMs <= context.nowMs
    }

    private fun hasOnlyBackfill(machine: Machine): Boolean =
        context.view.jobsOn(machine.name).all { isBackfill(it, machine) }

    companion object {
        /** The time between two plans, in heartbeat intervals. */
        const val PLAN_INTERVAL_HEARTBEATS = 0.4
    }
}
