package flaxfield.fleet

import flaxfield.controller.ControllerContext

/** Orders the machines to return. */
object ScaleInOrder {
    /**
     * Returns machines with tasks before empty ones, since their tasks start elsewhere only after the response to the
     * return. During the recovery from the loss of a zone, machines are ordered by their most urgent task instead, in
     * scheduling order.
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
