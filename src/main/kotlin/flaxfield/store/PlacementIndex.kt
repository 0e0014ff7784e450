package flaxfield.store

import flaxfield.fleet.Machine
import flaxfield.fleet.MachineType
import flaxfield.jobs.Job
import flaxfield.jobs.MachineRoom
import flaxfield.jobs.Placement

/**
 * Indexes the placements of all jobs by machine and caches the room on each machine. The index is updated
 * with each change of a job, so that a machine's heartbeat does not iterate over all placements of the jobs on it. Used
 * only by the owner thread.
 */
internal class PlacementIndex {
    /** Placements by machine name, job id and task index. */
    private val byMachine = HashMap<String, HashMap<String, HashMap<Int, Placement>>>()

    /** The number of placements by job id and machine name. */
    private val taskCountsByJob = HashMap<String, HashMap<String, Int>>()

    /** The room by machine name, computed on first use and invalidated when a placement there changes. */
    private val roomByMachine = HashMap<String, MachineRoom>()

    /** Adds a placement of [jobId]. It replaces an earlier attempt of the same task on the same machine. */
    fun add(jobId: String, placement: Placement) {
        roomByMachine.remove(placement.machineName)
        val jobsOnMachine = byMachine.getOrPut(placement.machineName) { HashMap() }
        val replaced = jobsOnMachine.getOrPut(jobId) { HashMap() }.put(placement.index, placement)
        if (replaced == null) taskCountsByJob.getOrPut(jobId) { HashMap() }.merge(placement.machineName, 1, Int::plus)
    }

    /** Removes a placement of [jobId], unless another attempt of the task has replaced it. */
    fun remove(jobId: String, placement: Placement) {
        roomByMachine.remove(placement.machineName)
        val jobsOnMachine = byMachine[placement.machineName] ?: return
        val tasks = jobsOnMachine[jobId] ?: return
        if (tasks[placement.index]?.attempt != placement.attempt) return
        tasks.remove(placement.index)
        if (tasks.isEmpty()) jobsOnMachine.remove(jobId)
        if (jobsOnMachine.isEmpty()) byMachine.remove(placement.machineName)
        countRemoved(jobId, placement.machineName)
    }

    private fun countRemoved(jobId: String, machineName: String) {
        val counts = taskCountsByJob[jobId] ?: return
        counts.computeIfPresent(machineName) { _, count -> if (count > 1) count - 1 else null }
        if (counts.isEmpty()) taskCountsByJob.remove(jobId)
    }

    /** Returns the number of placements of [jobId] by machine name. */
    fun taskCountsOf(jobId: String): Map<String, Int> = taskCountsByJob[jobId].orEmpty()

    /** Returns all placed tasks on [machineName], each with its job from [jobs]. */
    fun placedTasksOn(machineName: String, jobs: Map<String, Job>): List<PlacedTask> {
        val jobsOnMachine = byMachine[machineName] ?: return emptyList()
        val result = ArrayList<PlacedTask>()
        for ((id, tasks) in jobsOnMachine) {
            val job = jobs[id] ?: continue
            for (placement in tasks.values) result += PlacedTask(job, placement)
        }
        return result
    }

    /** Whether there is no placement on [machineName]. */
    fun isEmpty(machineName: String): Boolean = !byMachine.containsKey(machineName)

    /** Returns the ids of the jobs with a placement on [machineName]; null if there is none. */
    fun jobIdsOn(machineName: String): Set<String>? = byMachine[machineName]?.keys

    /** Returns the number of placements of [jobId] on [machineName]. */
    fun taskCountOn(machineName: String, jobId: String): Int = byMachine[machineName]?.get(jobId)?.size ?: 0

    /** Returns the number of placements on [machineName]. */
    fun taskCountOn(machineName: String): Int = byMachine[machineName]?.values?.sumOf { it.size } ?: 0

    /** Returns the room that is left on [machine]; null if its type is not in [machineTypes]. */
    fun room(machine: Machine, machineTypes: Map<String, MachineType>, jobs: Map<String, Job>): MachineRoom? {
        roomByMachine[machine.name]?.let { return it }
        var room = MachineRoom(machineTypes[machine.machineType]?.capacity ?: return null)
        for ((id, tasks) in byMachine[machine.name].orEmpty()) {
            val job = jobs[id] ?: continue
            room = room.minus(job.spec, tasks.size)
        }
        roomByMachine[machine.name] = room
        return room
    }

    /** Discards the cached room after a change of the machine types. */
    fun invalidateRoom() = roomByMachine.clear()

    fun clear() {
        byMachine.clear()
        taskCountsByJob.clear()
        roomByMachine.clear()
    }
}
