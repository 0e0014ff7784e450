package flaxfield.arrays

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.fleet.Machine
import flaxfield.jobs.Job
import flaxfield.jobs.Resources
import flaxfield.store.StoreKeys
import flaxfield.workers.WorkerHealth

/** Selects the machines of this controller's shard that accept array tasks now, and those suitable for a job. */
class ArrayCandidates(
    private val context: ControllerContext,
    private val workerHealth: WorkerHealth,
    private val inFlight: InFlightPlacements,
) {
    /** Whether the cluster had any spot machine when the candidates were last listed. */
    private var hasSpotMachines = false
    private var claimedTypes: Set<String> = emptySet()
    private var nextClaimedTypesNs = 0L

    /**
     * Returns the machines of this shard that accept tasks and have at least [minimum] free. The resources of
     * placements in flight are subtracted.
     */
    fun list(minimum: Resources): List<PlacementCandidate> {
        hasSpotMachines = context.view.machines.values.any { it.preemptible }
        val candidates = context.shards.ownedMachines().mapNotNull { candidate(it, minimum) }
        inFlight.assumeOn(candidates)
        return candidates
    }

    private fun candidate(machine: Machine, minimum: Resources): PlacementCandidate? {
        val view = context.view
        val room = view.room(machine)?.takeIf { it.resources.canHold(minimum) } ?: return null
        if (!isOpen(machine)) return null
        val workerState = workerHealth.workerState(machine.name)
        val heartbeat = workerState.heartbeat ?: return null
        return PlacementCandidate(
            machine,
            heartbeat.incarnation,
            room,
            workerState.images.keys,
            view.isEmpty(machine.name),
        )
    }

    private fun isOpen(machine: Machine): Boolean = machine.isSchedulable &&
        context.zones?.acceptsPlacements(machine) != false &&
        context.view.activeReservation(machine) == null &&
        !context.transactions.isWritePending(StoreKeys.MACHINE + machine.name) &&
        workerHealth.health(machine.name) == MachineHealth.OK

    /** Returns those of [candidates] that a task of [job] may be placed on now. */
    fun eligible(job: Job, candidates: List<PlacementCandidate>): List<PlacementCandidate> =
        candidates.filter { it.room.canHold(job.spec) && isSuitable(job, it) }

    /**
     * Whether [job] may use the candidate's machine type and kind (spot or on-demand), given the reservations for them.
     */
    fun isSuitable(job: Job, candidate: PlacementCandidate): Boolean {
        val machine = candidate.machine
        val reservations = context.scheduling.reservations
        if (!reservations.isUnreservedFor(job.spec, machine.machineType, machine.preemptible)) {
            return context.scheduling.isStarved(job) ||
                reservations.mayBackfill(job.spec, machine.machineType, machine.preemptible) &&
                machine.machineType !in typesClaimedByGangs()
        }
        return machine.preemptible || context.scheduling.mayUseOnDemand(job, hasSpotMachines)
    }

    /** Returns the types whose on-demand machines will all be taken by waiting gangs. Recomputed periodically. */
    private fun typesClaimedByGangs(): Set<String> {
        if (context.nowNs < nextClaimedTypesNs) return claimedTypes
        nextClaimedTypesNs =
            context.nowNs +
            (context.settings.workers.heartbeatIntervalS * CLAIMED_TYPES_HEARTBEATS * NANOS_PER_SECOND).toLong()
        claimedTypes = if (context.scheduling.reservations.hasWaitingGangs) countTypesClaimedByGangs() else emptySet()
        return claimedTypes
    }

    private fun countTypesClaimedByGangs(): Set<String> {
        val view = context.view
        val openMachines = HashMap<String, Int>()
        for (machine in view.machines.values) {
            val isHealthyOnDemand = !machine.preemptible &&
                machine.isSchedulable &&
                view.machineStatus(machine.name)?.health == MachineHealth.OK
            if (!isHealthyOnDemand) continue
            if (view.jobsOn(machine.name).none { it.isGang }) openMachines.merge(machine.machineType, 1, Int::plus)
        }
        return view.machineTypes.keys.filterTo(HashSet()) {
            context.scheduling.reservations.isClaimedByWaitingGangs(it, openMachines[it] ?: 0)
        }
    }

    private companion object {
        /** The time between two recomputations of the claimed machine types, in heartbeat intervals. */
        const val CLAIMED_TYPES_HEARTBEATS = 0.1
    }
}
