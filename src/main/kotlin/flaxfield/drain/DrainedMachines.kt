package flaxfield.drain

import flaxfield.fleet.Machine
import flaxfield.jobs.Job

/** Indexes the machines that each drain has cordoned and the tasks on them. */
internal class DrainedMachines(private val snapshot: FleetSnapshot) {
    private val byDrain: Map<String, List<Machine>> = snapshot.machines.values
        .filter { it.cordon != null }
        .groupBy { it.cordon.orEmpty() }

    /** The number of machines that all drains together have cordoned. */
    val count: Int get() = byDrain.values.sumOf { it.size }

    private val unitsByMachine: Map<String, List<DisruptionUnit>> by lazy(LazyThreadSafetyMode.NONE, ::findUnits)

    /** Returns the machines that [drain] has cordoned. */
    fun of(drain: DrainRecord): List<Machine> = byDrain[drain.id].orEmpty()

    /** Returns the tasks on [machine] as disruption units; a gang is listed with all its tasks. */
    fun units(machine: Machine): List<DisruptionUnit> = unitsByMachine[machine.name].orEmpty()

    private fun findUnits(): Map<String, List<DisruptionUnit>> {
        val drained = byDrain.values.flatMapTo(HashSet()) { machines -> machines.map { it.name } }
        val result = HashMap<String, MutableList<DisruptionUnit>>()
        for (job in snapshot.jobs.values) {
            val byMachine = job.allPlaced().filter { it.machineName in drained }.groupBy { it.machineName }
            val gang by lazy(LazyThreadSafetyMode.NONE) { wholeGang(job) }
            for ((machineName, placements) in byMachine) {
                val units = result.getOrPut(machineName) { ArrayList() }
                if (job.isGang) {
                    units += gang
                } else {
                    for (placement in placements) units += DisruptionUnit(job, listOf(placement.index))
                }
            }
        }
        return result
    }

    private fun wholeGang(job: Job) = DisruptionUnit(job, job.allPlaced().map { it.index }.sorted().toList())
}
