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

/** Which machines of the whole cluster gangs may be placed on, as the leader's view has them. */
class GangCandidates(private val context: ControllerContext) {
    /** What decides on which machines a gang may run and how many of its tasks fit there. */
    private data class Shape(
        val taskResources: Resources,
        val machineTypes: Set<String>?,
        val zone: String?,
        val preemptible: Boolean,
    )

    /** One specification for each different shape among [gangs]. */
    fun distinctShapes(gangs: List<Job>): List<JobSpec> = gangs.map { it.spec }
        .distinctBy { Shape(it.taskResources, it.machineTypes, it.zone, it.preemptible) }

    /** The machines that a gang of one of [shapes] could run on now, or once others are preempted. */
    fun forShapes(shapes: List<JobSpec>): List<PlacementCandidate> =
        context.view.machines.values.mapNotNull { machine ->
            if (shapes.none { TopologyConstraint.allowsMachine(it, machine) }) return@mapNotNull null
            val candidate = openCandidate(machine) ?: return@mapNotNull null
            candidate.takeIf {
                shapes.any { shape -> candidate.free.canHold(shape.taskResources) } || mayBeEvicted(machine.name)
            }
        }

    /** How many tasks of [shapes] fit into what is free now. */
    fun countFreeTasks(shapes: List<JobSpec>): Int {
        var count = 0
        for (machine in context.view.machines.values) {
            if (!machine.isSchedulable || !acceptsPlacements(machine)) continue
            val free = context.view.free(machine) ?: continue
            count += shapes.filter { TopologyConstraint.allowsMachine(it, machine) }
                .sumOf { free.countFitting(it.taskResources) }
        }
        return count
    }

    /** Those of [machines] that are reserved for a gang and can still run it. */
    fun fromReserved(machines: List<Machine>): List<PlacementCandidate> = machines.mapNotNull { machine ->
        val status = healthyStatus(machine.name) ?: return@mapNotNull null
        if (machine.isSchedulable && acceptsPlacements(machine)) candidate(machine, status) else null
    }

    private fun openCandidate(machine: Machine): PlacementCandidate? {
        if (!machine.isSchedulable ||
            context.view.activeReservation(machine) != null ||
            context.transactions.isWritePending(StoreKeys.MACHINE + machine.name) ||
            !acceptsPlacements(machine)
        ) {
            return null
        }
        return healthyStatus(machine.name)?.let { candidate(machine, it) }
    }

    private fun acceptsPlacements(machine: Machine): Boolean = context.zones?.acceptsPlacements(machine) != false

    private fun healthyStatus(machineName: String): MachineStatus? =
        context.view.machineStatus(machineName)?.takeIf { it.state == MachineHealth.OK }

    private fun candidate(machine: Machine, status: MachineStatus): PlacementCandidate? {
        val free = context.view.free(machine) ?: return null
        val isEmpty = context.view.isEmpty(machine.name)
        return PlacementCandidate(machine, status.incarnation, free, status.images, isEmpty)
    }

    /** Whether anything on the machine may leave or be preempted; most machines run only gangs, which are not. */
    private fun mayBeEvicted(machineName: String): Boolean =
        context.view.jobsOn(machineName).any { !it.isGang || it.cancelled || it.id in context.view.halting }
}
