package flaxfield.arrays

import flaxfield.fleet.Machine
import flaxfield.jobs.Job
import flaxfield.jobs.JobSpec

/**
 * The zone constraints of one job: a fixed zone, all tasks in one zone, or tasks spread over zones. [placedZones] are
 * the zones of the tasks that are already placed, one entry per task. [add] counts each further task.
 */
class TopologyConstraint(private val spec: JobSpec, placedZones: List<String>) {
    private val tasksByZone = HashMap<String, Int>()
    private val maxTasksInZone = (spec.taskCount + 1) / 2
    private var requiredZone = spec.zone

    init {
        for (zone in placedZones) add(zone)
    }

    /** Restricts all further tasks to [zone]. */
    fun require(zone: String) {
        requiredZone = zone
    }

    /** Whether one more task may be placed in [zone]. */
    fun allows(zone: String): Boolean = when {
        requiredZone != null && requiredZone != zone -> false
        spec.sameZone && tasksByZone.keys.any { it != zone } -> false
        spec.spreadAcrossZones && (tasksByZone[zone] ?: 0) >= maxTasksInZone -> false
        else -> true
    }

    /** Returns how many more tasks may be placed in [zone]. */
    fun maxMoreTasks(zone: String): Int = when {
        !allows(zone) -> 0
        spec.spreadAcrossZones -> maxTasksInZone - (tasksByZone[zone] ?: 0)
        else -> Int.MAX_VALUE
    }

    /** Counts [count] more tasks in [zone]. */
    fun add(zone: String, count: Int = 1) {
        tasksByZone.merge(zone, count, Int::plus)
    }

    companion object {
        /**
         * Returns the zones of the placed tasks of [job], one entry per task, as far as they constrain its other tasks.
         */
        fun placedZones(job: Job, machines: Map<String, Machine>): List<String> {
            if (!job.spec.sameZone && !job.spec.spreadAcrossZones) return emptyList()
            return job.allPlaced().map { machines[it.machineName]?.zone.orEmpty() }.toList()
        }

        /** Whether machines of this type, zone and kind may run tasks of [spec], regardless of free resources. */
        fun allowsMachineKind(spec: JobSpec, machineType: String, zone: String, preemptible: Boolean): Boolean =
            (spec.machineTypes == null || machineType in spec.machineTypes) &&
                (spec.zone == null || spec.zone == zone) &&
                (!preemptible || spec.preemptible)

        /** Whether [machine] may run tasks of [spec], regardless of its free resources. */
        fun allowsMachine(spec: JobSpec, machine: Machine): Boolean =
            allowsMachineKind(spec, machine.machineType, machine.zone, machine.preemptible)
    }
}
