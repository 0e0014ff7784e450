package flaxfield.arrays

import flaxfield.controller.ControllerContext
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.Job
import flaxfield.quota.JobOrder
import flaxfield.quota.TeamUsage
import flaxfield.store.PlacedTask
import flaxfield.workers.HaltDispatcher

/**
 * Evicts arrays from machines of this controller's shard: from those that are to be returned, and from those that the
 * leader has reserved for gangs that may preempt.
 */
class MachineDrainer(private val context: ControllerContext, private val halts: HaltDispatcher) {
    /** Sends the halts that are due under [term]. */
    fun run(term: ULong) {
        drainReturning(term)
        evictForGangs(term)
    }

    private fun drainReturning(term: ULong) {
        for (machine in context.shards.ownedMachines()) {
            if (machine.phase != MachinePhase.DRAINING) continue
            val tasks = context.view.on(machine.name).filter { !it.placed.stopping && !it.job.isGang }
            halt(tasks, term, "machine_returning:${machine.name}")
        }
    }

    private fun evictForGangs(term: ULong) {
        val reserved = context.view.reservedMachines.mapNotNull { context.view.machines[it] }
            .filter { context.shards.owns(it) && context.view.activeReservation(it)?.evict ?: false }
        if (reserved.isEmpty()) return
        val usage = context.scheduling.teamUsage()
        val guaranteed = context.scheduling.guaranteed()
        for (machine in reserved) {
            val reservation = machine.reservation ?: continue
            val gang = context.view.jobs[reservation.job] ?: continue
            val victims = selectVictims(machine, gang, reservation.tasks, gang.id in guaranteed, usage)
            halt(victims, term, "preempted_for_gang:${gang.id}")
        }
    }

    /** The fewest tasks in [EvictionOrder] whose end lets [tasks] of [gang] fit, as far as it may preempt them. */
    private fun selectVictims(
        machine: Machine,
        gang: Job,
        tasks: Int,
        isGuaranteed: Boolean,
        usage: TeamUsage,
    ): List<PlacedTask> {
        var free = context.view.free(machine) ?: return emptyList()
        val required = gang.spec.taskResources * tasks
        val placedTasks = context.view.on(machine.name)
        for (task in placedTasks) {
            if (task.placed.stopping || task.job.cancelled) free += task.job.spec.taskResources
        }
        val preemptible = placedTasks.filter {
            !it.placed.stopping && !it.job.isGang && JobOrder.mayPreempt(gang, isGuaranteed, it.job, usage)
        }
        val victims = ArrayList<PlacedTask>()
        for (task in preemptible.sortedWith(EvictionOrder)) {
            if (free.canHold(required)) break
            free += task.job.spec.taskResources
            victims += task
        }
        return victims
    }

    private fun halt(tasks: List<PlacedTask>, term: ULong, reason: String) {
        for ((jobId, jobTasks) in tasks.groupBy { it.job.id }) {
            halts.stop(jobId, jobTasks.map { it.placed.index }, term, reason)
        }
    }
}

/**
 * Which task is evicted first: of the lowest priority, then one that saves checkpoints, then of the latest job. A task
 * without checkpoints starts over after each eviction, while one with them loses little.
 */
object EvictionOrder : Comparator<PlacedTask> {
    private val order = compareBy<PlacedTask>(
        { it.job.spec.priority },
        { it.job.spec.checkpointIntervalS <= 0.0 },
        { -it.job.submittedMs },
    )

    override fun compare(a: PlacedTask, b: PlacedTask): Int = order.compare(a, b)
}
