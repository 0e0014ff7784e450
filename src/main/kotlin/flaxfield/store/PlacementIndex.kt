package flaxfield.store

import flaxfield.fleet.Machine
import flaxfield.fleet.MachineType
import flaxfield.jobs.Job
import flaxfield.jobs.Placement
import flaxfield.jobs.Resources

/**
 * The task records of all jobs by machine, and what they leave free there. Kept with each change of a job, since a
 * heartbeat of one machine must not cost a walk over every record of the jobs on it. Owned by the owner thread.
 */
internal class PlacementIndex {
    /** Placements by machine name, job id and task index. */
    private val byMachine = HashMap<String, HashMap<String, HashMap<Int, Placement>>>()

    /** Free resources by machine name, computed when first asked for and dropped when a record there changes. */
    private val freeByMachine = HashMap<String, Resources>()

    /** Enters a record of [jobId]; it replaces an earlier attempt of the same task on the same machine. */
    fun add(jobId: String, placement: Placement) {
        freeByMachine.remove(placement.machineName)
        val jobsThere = byMachine.getOrPut(placement.machineName) { HashMap() }
        jobsThere.getOrPut(jobId) { HashMap() }[placement.index] = placement
    }

    /** Removes a record of [jobId], unless a later attempt of the task has replaced it. */
    fun remove(jobId: String, placement: Placement) {
        freeByMachine.remove(placement.machineName)
        val jobsThere = byMachine[placement.machineName] ?: return
        val tasks = jobsThere[jobId] ?: return
        if (tasks[placement.index]?.attempt == placement.attempt) tasks.remove(placement.index)
        if (tasks.isEmpty()) jobsThere.remove(jobId)
        if (jobsThere.isEmpty()) byMachine.remove(placement.machineName)
    }

    /** All task records on [machineName], each with its job out of [jobs]. */
    fun taskCountOn(machineName: String, jobs: Map<String, Job>): List<PlacedTask> {
        val jobsThere = byMachine[machineName] ?: return emptyList()
        val result = ArrayList<PlacedTask>()
        for ((id, tasks) in jobsThere) {
            val job = jobs[id] ?: continue
            for (placement in tasks.values) result += PlacedTask(job, placement)
        }
        return result
    }

    /** Whether there is no record on [machineName]. */
    fun isEmpty(machineName: String): Boolean = !byMachine.containsKey(machineName)

    /** The ids of the jobs with a record on [machineName]; null without one. */
    fun jobIdsOn(machineName: String): Set<String>? = byMachine[machineName]?.keys

    /** How many records of [jobId] there are on [machineName]. */
    fun taskCountOn(machineName: String, jobId: String): Int = byMachine[machineName]?.get(jobId)?.size ?: 0

    /** How many records there are on [machineName]. */
    fun taskCountOn(machineName: String): Int = byMachine[machineName]?.values?.sumOf { it.size } ?: 0

    /** What the records leave free on [machine]; null if its type is not among [machineTypes]. */
    fun free(machine: Machine, machineTypes: Map<String, MachineType>, jobs: Map<String, Job>): Resources? {
        freeByMachine[machine.name]?.let { return it }
        var free = machineTypes[machine.machineType]?.capacity ?: return null
        for ((id, tasks) in byMachine[machine.name].orEmpty()) {
            val job = jobs[id] ?: continue
            free -= job.spec.taskResources * tasks.size
        }
        freeByMachine[machine.name] = free
        return free
    }

    /** The capacities of machine types have changed: what is free is computed anew. */
    fun invalidateFree() = freeByMachine.clear()

    fun clear() {
        byMachine.clear()
        freeByMachine.clear()
    }
}
