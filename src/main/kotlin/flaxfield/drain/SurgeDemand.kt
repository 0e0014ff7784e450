package flaxfield.drain

import flaxfield.fleet.CapacityDemand
import flaxfield.jobs.Job

/** Pure: the capacity to scale out ahead of evictions, so that evicted tasks find machines that are up. */
object SurgeDemand {
    /** The demand of the tasks on the next machines to be emptied, as many machines as all fleet files allow. */
    fun of(snapshot: FleetSnapshot): List<CapacityDemand> {
        val policy = snapshot.policy() ?: return emptyList()
        val machines = nextMachines(snapshot, policy.surgeMachines)
        if (machines.isEmpty()) return emptyList()
        val availability = Availability(snapshot, policy)
        return snapshot.jobs.values
            .filter { isEvictable(it, policy, availability) }
            .mapNotNull { demand(it, machines) }
    }

    /** The first [limit] machines, by name, that active drains have cordoned. */
    private fun nextMachines(snapshot: FleetSnapshot, limit: Int): Set<String> {
        val active = snapshot.drains.values.filter { it.phase == DrainPhase.ACTIVE }.mapTo(HashSet()) { it.id }
        if (active.isEmpty()) return emptySet()
        return snapshot.machines.values
            .filter { it.cordon in active }
            .sortedBy { it.name }
            .take(limit)
            .mapTo(HashSet()) { it.name }
    }

    /** What is never evicted needs no capacity elsewhere. */
    private fun isEvictable(job: Job, policy: FleetPolicy, availability: Availability): Boolean {
        val unit = Capacity.of(job.spec) * (if (job.isGang) job.spec.taskCount else 1)
        return !job.cancelled &&
            policy.repeatPolicy(job.spec.jobClass).allows(job.spec) &&
            availability.of(job.spec.team).everPermits(unit)
    }

    private fun demand(job: Job, machines: Set<String>): CapacityDemand? {
        val tasks = job.allPlaced().count { it.machineName in machines && !it.stopping }
        if (tasks == 0) return null
        return CapacityDemand(job.spec, if (job.isGang) job.spec.taskCount else tasks)
    }
}
