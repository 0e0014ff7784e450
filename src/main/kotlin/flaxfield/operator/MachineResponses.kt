package flaxfield.operator

import flaxfield.arrays.MachineHealth
import flaxfield.drain.FleetSnapshot
import flaxfield.operator.v1.Machine

/** Builds the responses about machines from one snapshot. Pure. */
class MachineResponses(private val snapshot: FleetSnapshot) {
    /** Returns all machines, sorted by name. */
    fun machines(): List<Machine> {
        val tasks = HashMap<String, Int>()
        val teams = HashMap<String, MutableSet<String>>()
        for (job in snapshot.jobs.values) {
            for (placement in job.allPlaced()) {
                tasks.merge(placement.machineName, 1, Int::plus)
                teams.getOrPut(placement.machineName) { sortedSetOf() } += job.spec.team
            }
        }
        return snapshot.machines.values.sortedBy { it.name }.map { machine ->
            val health = snapshot.machineStatuses[machine.name]?.health ?: MachineHealth.UNSEEN
            Machine.newBuilder()
                .setName(machine.name)
                .setMachineType(machine.machineType)
                .setZone(machine.zone)
                .setPreemptible(machine.preemptible)
                .setPhase(machine.phase.name.lowercase())
                .setHealth(health.name.lowercase())
                .setDrain(machine.cordon.orEmpty())
                .setTasks(tasks[machine.name] ?: 0)
                .addAllTeams(teams[machine.name].orEmpty())
                .build()
        }
    }
}
