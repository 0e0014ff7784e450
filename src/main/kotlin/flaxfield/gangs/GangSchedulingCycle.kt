package flaxfield.gangs

import flaxfield.arrays.MachineHealth
import flaxfield.arrays.MachineStatus
import flaxfield.arrays.PlacementCandidate
import flaxfield.controller.ControllerContext
import flaxfield.fleet.Machine
import flaxfield.jobs.Job
import flaxfield.jobs.MachineRoom
import flaxfield.jobs.Priority
import flaxfield.quota.JobOrder
import flaxfield.quota.TeamUsage

/** A machine and its status in its owner's shard summary. */
data class ObservedMachine(val machine: Machine, val status: MachineStatus)

/** The properties that determine whose tasks a gang may preempt. Gangs of equal scope may preempt the same tasks. */
data class PreemptionScope(
    val priority: Priority,
    val guaranteed: Boolean,
    /** The gang's team if the gang is within that team's guarantee, else empty. */
    val team: String,
    val isCrashLooping: Boolean,
)

/**
 * The state of one run of the gang scheduler: the machines still available to gangs, the teams' usage including the
 * gangs placed in this run, and the shapes found infeasible. Not reused by later runs.
 */
class GangSchedulingCycle(
    private val context: ControllerContext,
    private var candidates: List<PlacementCandidate>,
    val usage: TeamUsage,
    private val guaranteed: Set<String>,
    val term: ULong,
) {
    private val infeasible = InfeasibleShapes(context.nowMs)
    private val reclaimableByScope = HashMap<PreemptionScope, Map<String, MachineRoom>>()

    /** The number of placement attempts in this run. */
    val attempts: Int get() = infeasible.attempts

    /** The healthy machines that run gangs now. */
    val machinesWithGangs: List<ObservedMachine> by lazy(LazyThreadSafetyMode.NONE) {
        val view = context.view
        view.machines.values.filter { machine -> machine.isSchedulable && view.jobsOn(machine.name).any { it.isGang } }
            .mapNotNull { machine ->
                val status = view.machineStatus(machine.name)?.takeIf { it.health == MachineHealth.OK }
                status?.let { ObservedMachine(machine, it) }
            }
    }

    /** Places [job] on the resources that are free now. */
    fun placeOnFreeResources(job: Job): GangPlacementResult = infeasible.place(job, null) { candidates }

    /** Places [job] on the resources that are free once all tasks that it may preempt have terminated. */
    fun placeAfterEviction(job: Job): GangPlacementResult =
        infeasible.place(job, scopeOf(job)) { candidatesAfterEviction(job) }

    /** Removes machines from the candidates of this run, since a machine has at most one reservation at a time. */
    fun exclude(machineNames: Set<String>) {
        candidates = candidates.filter { it.machine.name !in machineNames }
    }

    /** Excludes the machines that [job] will use from placements of other gangs, for the rest of this run. */
    fun reserveFor(job: Job) {
        candidates = LargeGangReservation.withoutReserved(job, candidates, candidatesAfterEviction(job), context.nowMs)
    }

    private fun candidatesAfterEviction(job: Job): List<PlacementCandidate> {
        val reclaimable = reclaimableByScope.getOrPut(scopeOf(job)) { reclaimableRoom(job) }
        return candidates.map { candidate ->
            reclaimable[candidate.machine.name]?.let { candidate.copy(candidate.room + it) } ?: candidate.copy()
        }
    }

    private fun scopeOf(job: Job): PreemptionScope {
        val isGuaranteed = job.id in guaranteed
        return PreemptionScope(
            job.spec.priority,
            isGuaranteed,
            if (isGuaranteed) job.spec.team else "",
            job.isCrashLooping,
        )
    }

    /**
     * Returns the room that [job] can reclaim on each candidate, by machine name: those of the tasks that it may
     * preempt and of the tasks that are terminating anyway.
     */
    private fun reclaimableRoom(job: Job): Map<String, MachineRoom> {
        val isGuaranteed = job.id in guaranteed
        val result = HashMap<String, MachineRoom>()
        for (candidate in candidates) {
            val machineName = candidate.machine.name
            var room = MachineRoom.NONE
            for (other in context.view.jobsOn(machineName)) {
                val tasks = countReclaimableTasks(job, isGuaranteed, other, machineName)
                if (tasks > 0) room = room.plus(other.spec, tasks)
            }
            if (room !== MachineRoom.NONE) result[machineName] = room
        }
        return result
    }

    private fun countReclaimableTasks(job: Job, isGuaranteed: Boolean, other: Job, machineName: String): Int {
        val view = context.view
        return when {
            other.cancelled || mayEvict(job, isGuaranteed, other) -> view.taskCountOn(machineName, other.id)
            other.id in view.halting ->
                view.placedTasksOn(machineName).count { it.job.id == other.id && it.placed.stopping }
            else -> 0
        }
    }

    private fun mayEvict(job: Job, isGuaranteed: Boolean, other: Job) =
        !other.isGang && JobOrder.mayPreempt(job, isGuaranteed, other, usage)
}
