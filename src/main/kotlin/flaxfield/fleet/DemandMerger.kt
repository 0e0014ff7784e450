package flaxfield.fleet

import flaxfield.jobs.JobKind
import flaxfield.jobs.Resources

/**
 * Merges small demands of the same kind, which keeps bin packing cheap with thousands of small jobs. The task
 * resources of a merged demand are the maximum over its parts, for each resource. Pure functions.
 */
object DemandMerger {
    /** Demands with more tasks than this are not merged. */
    private const val MAX_MERGED_TASKS = 4

    /** Demands with equal keys are merged. A demand that may not be merged has its [position] as a unique key. */
    private data class MergeKey(
        val position: Int?,
        val jobClass: String,
        val team: String,
        val machineTypes: Set<String>?,
        val zone: String?,
        val preemptible: Boolean,
        val isUrgent: Boolean,
        val isStarved: Boolean,
        val excludedMachines: Set<String>,
        val mayUseOnDemand: Boolean,
    )

    /** Returns [demands] with the small ones merged; each result takes the position of the first of its parts. */
    fun merge(demands: List<CapacityDemand>): List<CapacityDemand> {
        val merged = LinkedHashMap<MergeKey, CapacityDemand>()
        for ((position, demand) in demands.withIndex()) {
            val key = key(demand, position.takeUnless { isMergeable(demand) })
            val earlier = merged[key]
            merged[key] = if (earlier == null) demand else combine(earlier, demand)
        }
        return merged.values.toList()
    }

    private fun isMergeable(demand: CapacityDemand): Boolean {
        val spec = demand.spec
        val isConstrained = spec.sameZone || spec.spreadAcrossZones
        return demand.tasks <= MAX_MERGED_TASKS && spec.jobKind == JobKind.ARRAY && !isConstrained
    }

    private fun key(demand: CapacityDemand, position: Int?): MergeKey {
        val spec = demand.spec
        return MergeKey(
            position,
            spec.jobClass,
            spec.team,
            spec.machineTypes,
            spec.zone,
            spec.preemptible,
            demand.isUrgent,
            demand.isStarved,
            demand.excludedMachines,
            demand.mayUseOnDemand,
        )
    }

    private fun combine(first: CapacityDemand, second: CapacityDemand): CapacityDemand {
        val largest = largest(first.spec.taskResources, second.spec.taskResources)
        return first.copy(spec = first.spec.copy(taskResources = largest), tasks = first.tasks + second.tasks)
    }

    private fun largest(first: Resources, second: Resources) = Resources(
        maxOf(first.cpus, second.cpus),
        maxOf(first.gpus, second.gpus),
        maxOf(first.memoryGb, second.memoryGb),
    )
}
