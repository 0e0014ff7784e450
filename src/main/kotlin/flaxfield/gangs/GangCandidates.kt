package flaxfield.gangs

import flaxfield.arrays.MachineHealth
import flaxfield.arrays.MachineStatus
import flaxfield.arrays.PlacementCandidate
import flaxfield.arrays.TopologyConstraint
import flaxfield.controller.ControllerContext
import flaxfield.fleet.Machine
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources
import flaxfield.store.StoreKeys

/** Selects the machines of the whole cluster that gangs may be placed on, according to the leader's view. */
class GangCandidates(private val context: ControllerContext) {
    /** The properties of a gang that determine which machines may run it and how many of its tasks fit there. */
    private data class Shape(
        val taskResources: Resources,
        val machineTypes: Set<String>?,
        val zone: String?,
        val preemptible: Boolean,
    )

    /** Returns one specification for each distinct shape among [gangs]. */
    fun distinctShapes(gangs: List<Job>): List<JobSpec> = gangs.map { it.spec }
        .distinctBy { Shape(it.taskResources, it.machineTypes, it.zone, it.preemptible) }

    /** Returns the machines that a gang of one of [shapes] could use now, or once other tasks are preempted. */
    fun forShapes(shapes: List<JobSpec>): List<PlacementCandidate> =
        context.view.machines.values.mapNotNull { machine ->
            if (shapes.none { TopologyConstraint.allowsMachine(it, machine) }) return@mapNotNull null
            val candidate = openCandidate(machine) ?: return@mapNotNull null
            candidate.takeIf {
                shapes.any { shape -> candidate.room.canHold(shape) } || mayBeEvicted(machine.name)
            }
        }

    /** Returns the number of tasks of each of [shapes] that fit into the free resources, summed over all shapes. */
    fun countFreeTasks(shapes: List<JobSpec>): Int {
        var count = 0
        for (machine in context.view.machines.values) {
            if (!machine.isSchedulable || !acceptsPlacements(machine)) continue
            val room = context.view.room(machine) ?: continue
            count += shapes.filter { TopologyConstraint.allowsMachine(it, machine) }
                .sumOf { room.countFitting(it) }
        }
        return count
    }

    /** Returns those of [machines], all reserved for one gang, that can still run it. */
    fun fromReserved(machines: List<Machine>): List<PlacementCandidate> = machines.mapNotNull { machine ->
        val status = healthyStatus(machine.name) ?: return@mapNotNull null
        if (machine.isSchedulable && acceptsPlacements(machine)) candidate(machine, status) else null
    }

    /** Whether [machine] may be reserved for a gang: it is healthy, accepts tasks and is not reserved. */
    fun isOpen(machine: Machine): Boolean = machine.isSchedulable &&
        context.view.activeReservation(machine) == null &&
        !context.transactions.isWritePending(StoreKeys.MACHINE + machine.name) &&
        acceptsPlacements(machine) &&
        healthyStatus(machine.name) != null

    private fun openCandidate(machine: Machine): PlacementCandidate? {
        if (!isOpen(machine)) return null
        return healthyStatus(machine.name)?.let { candidate(machine, it) }
    }

    private fun acceptsPlacements(machine: Machine): Boolean = context.zones?.acceptsPlacements(machine) != false

    private fun healthyStatus(machineName: String): MachineStatus? =
        context.view.machineStatus(machineName)?.takeIf { it.health == MachineHealth.OK }

    private fun candidate(machine: Machine, status: MachineStatus): PlacementCandidate? {
        val room = context.view.room(machine) ?: return null
        val isEmpty = context.view.isEmpty(machine.name)
        return PlacementCandidate(machine, status.incarnation, room, status.images, isEmpty)
    }

    /**
     * Whether any task on the machine is terminating or may be preempted. Most machines run only gangs, which are never
     * preempted.
     */
    private fun mayBeEvicted(machineName: String): Boolean =
        context.view.jobsOn(machineName).any { !it.isGang || it.cancelled || it.id in context.view.halting }
}
