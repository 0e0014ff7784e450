package flaxfield.fleet

import flaxfield.controller.ControllerContext

/** The order in which machines are returned. */
object ScaleInOrder {
    /**
     * Machines with tasks before empty ones, since those tasks start elsewhere only once the return is answered. While
     * a zone is lost or returning, machines with the most urgent tasks come first, in the order in which tasks are
     * served.
     */
    fun sort(context: ControllerContext, machines: List<Machine>): List<Machine> {
        val view = context.view
        val zones = context.zones?.takeIf { it.isRecovering && machines.size > 1 }
            ?: return machines.sortedBy { view.isEmpty(it.name) }
        val jobsByMachine = machines.associate { it.name to view.jobsOn(it.name) }
        val displaced = jobsByMachine.values.flatten().distinctBy { it.id }
        val ordered = zones.sort(displaced, context.scheduling.teamUsage(), overdueBeforeMs = 0)
        val rankByJob = ordered.withIndex().associate { (rank, job) -> job.id to rank }
        return machines.sortedBy { machine ->
            jobsByMachine.getValue(machine.name).minOfOrNull { rankByJob.getValue(it.id) } ?: Int.MAX_VALUE
        }
    }
}
