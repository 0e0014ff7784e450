package flaxfield.gangs

import flaxfield.arrays.MachineHealth
import flaxfield.arrays.MachineStatus
import flaxfield.arrays.PlacementCandidate
import flaxfield.controller.ControllerContext
import flaxfield.fleet.Machine
import flaxfield.jobs.Job
import flaxfield.jobs.Priority
import flaxfield.jobs.Resources
import flaxfield.quota.JobOrder
import flaxfield.quota.TeamUsage

/** A machine with its status from its owner's shard summary. */
data class ObservedMachine(val machine: Machine, val status: MachineStatus)

/** What decides whose tasks a gang may preempt: gangs of one scope see the same machines after eviction. */
data class PreemptionScope(
    val priority: Priority,
    val guaranteed: Boolean,
    /** The gang's team if it is within that team's guarantee, else empty. */
    val team: String,
    val isCrashLooping: Boolean,
)

/**
 * The state of one run of the gang scheduler: the machines that are still open to gangs, the teams' usage with what
 * the run has added to it, and what it has found infeasible. Used for one run only.
 */
class GangSchedulingCycle(
    private val context: ControllerContext,
    private var candidates: List<PlacementCandidate>,
    val usage: TeamUsage,
    private val guaranteed: Set<String>,
    val term: ULong,
) {
    private val infeasible = InfeasibleShapes()
    private val evictableByScope = HashMap<PreemptionScope, Map<String, Resources>>()

    /** How many placement attempts this run has made. */
    val attempts: Int get() = infeasible.attempts

    /** Machines that run gangs now. */
    val machinesWithGangs: List<ObservedMachine> by lazy(LazyThreadSafetyMode.NONE) {
        val view = context.view
        view.machines.values.filter { machine -> machine.isSchedulable && view.jobsOn(machine.name).any { it.isGang } }
            .mapNotNull { machine ->
                val status = view.machineStatus(machine.name)?.takeIf { it.state == MachineHealth.OK }
                status?.let { ObservedMachine(machine, it) }
            }
    }

    /** Places [job] on what is free now. */
    fun placeOnFree(job: Job): GangPlacementResult = infeasible.place(job, null) { candidates }

    /** Places [job] on what would be free once the tasks that it may preempt have left. */
    fun placeAfterEviction(job: Job): GangPlacementResult =
        infeasible.place(job, scopeOf(job)) { candidatesAfterEviction(job) }

    /** Takes machines out of this run: a machine carries one reservation at a time. */
    fun exclude(machineNames: Set<String>) {
        candidates = candidates.filter { it.machine.name !in machineNames }
    }

    /** Leaves the machines that [job] will use to it, for the rest of this run. */
    fun reserveFor(job: Job) {
        candidates = LargeGangReservation.withoutReserved(job, candidates, candidatesAfterEviction(job))
    }

    private fun candidatesAfterEviction(job: Job): List<PlacementCandidate> {
        val evictable = evictableByScope.getOrPut(scopeOf(job)) { evictableResources(job) }
        return candidates.map { candidate ->
            evictable[candidate.machine.name]?.let { candidate.withFree(candidate.free + it) } ?: candidate.copy()
        }
    }

    private fun PlacementCandidate.withFree(resources: Resources) =
        PlacementCandidate(machine, incarnation, resources, images, isEmpty)

    private fun scopeOf(job: Job): PreemptionScope {
        val isGuaranteed = job.id in guaranteed
        return PreemptionScope(
            job.spec.priority,
            isGuaranteed,
            if (isGuaranteed) job.spec.team else "",
            job.isCrashLooping,
        )
    }

    /** What [job] may free on each candidate by preemption, with what is to leave anyway, by machine name. */
    private fun evictableResources(job: Job): Map<String, Resources> {
        val isGuaranteed = job.id in guaranteed
        val result = HashMap<String, Resources>()
        for (candidate in candidates) {
            val machineName = candidate.machine.name
            var resources = Resources.NONE
            for (other in context.view.jobsOn(machineName)) {
                val tasks = countLeaving(job, isGuaranteed, other, machineName)
                if (tasks > 0) resources += other.spec.taskResources * tasks
            }
            if (resources !== Resources.NONE) result[machineName] = resources
        }
        return result
    }

    private fun countLeaving(job: Job, isGuaranteed: Boolean, other: Job, machineName: String): Int {
        val view = context.view
        return when {
            other.cancelled || mayEvict(job, isGuaranteed, other) -> view.taskCountOn(machineName, other.id)
            other.id in view.halting -> view.on(machineName).count { it.job.id == other.id && it.placed.stopping }
            else -> 0
        }
    }

    private fun mayEvict(job: Job, isGuaranteed: Boolean, other: Job) =
        !other.isGang && JobOrder.mayPreempt(job, isGuaranteed, other, usage)
}
