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
 * Evicts array tasks from machines of this controller's shard: from draining machines, which will be returned to the
 * cloud, and from machines that the leader has reserved for a gang with eviction.
 */
class MachineDrainer(private val context: ControllerContext, private val halts: HaltDispatcher) {
    /** Halts the tasks to be evicted under [term]. */
    fun run(term: ULong) {
        evictFromDraining(term)
        evictForGangs(term)
    }

    private fun evictFromDraining(term: ULong) {
        for (machine in context.shards.ownedMachines()) {
            if (machine.phase != MachinePhase.DRAINING) continue
            val tasks = context.view.placedTasksOn(machine.name).filter { !it.placed.stopping && !it.job.isGang }
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

    /**
     * Returns the tasks to preempt so that [tasks] tasks of [gang] fit: as few as needed, in [EvictionOrder], among
     * those that the gang may preempt.
     */
    private fun selectVictims(
        machine: Machine,
        gang: Job,
        tasks: Int,
        isGuaranteed: Boolean,
        usage: TeamUsage,
    ): List<PlacedTask> {
        var room = context.view.room(machine) ?: return emptyList()
        val placedTasks = context.view.placedTasksOn(machine.name)
        for (task in placedTasks) {
            if (task.placed.stopping || task.job.cancelled) room = room.plus(task.job.spec)
        }
        val preemptible = placedTasks.filter {
            !it.placed.stopping && !it.job.isGang && JobOrder.mayPreempt(gang, isGuaranteed, it.job, usage)
        }
        val victims = ArrayList<PlacedTask>()
        for (task in preemptible.sortedWith(EvictionOrder)) {
            if (room.countFitting(gang.spec) >= tasks) break
            room = room.plus(task.job.spec)
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
 * Orders tasks for eviction: by lowest priority, then those that save checkpoints, then those of the latest job. A task
 * without checkpoints starts over after an eviction, while one with checkpoints loses little work.
 */
object EvictionOrder : Comparator<PlacedTask> {
    private val order = compareBy<PlacedTask>(
        { it.job.spec.priority },
        { it.job.spec.checkpointIntervalS <= 0.0 },
        { -it.job.submittedMs },
    )

    override fun compare(a: PlacedTask, b: PlacedTask): Int = order.compare(a, b)
}
