package flaxfield.fleet

import flaxfield.controller.ControllerContext

/** In which order machines are returned. */
object ReturnOrder {
    /**
     * Machines with tasks before empty ones: these go on elsewhere only on the answer, and behind a thousand idle ones
     * they did for minutes. While a zone is lost or returning, those with the most urgent tasks first, in the order in
     * which tasks are served.
     */
    fun sort(context: ControllerContext, machines: List<Machine>): List<Machine> {
        val view = context.view
        val zones =
            context.zones?.takeIf { it.isRecovering && machines.size > 1 }
                ?: return machines.sortedBy { view.isEmpty(it.name) }
        val jobs = machines.associate { it.name to view.jobsOn(it.name) }
        val displaced = jobs.values.flatten().distinctBy { it.id }
        val places = zones.sort(
            displaced,
            context.scheduling.teamUsage(),
            overdueBeforeMs = 0,
        ).withIndex().associate { (place, job) ->
            job.id to
                place
        }
        return machines.sortedBy { m -> jobs.getValue(m.name).minOfOrNull { places.getValue(it.id) } ?: Int.MAX_VALUE }
    }
}
