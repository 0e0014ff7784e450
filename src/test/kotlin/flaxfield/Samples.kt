package flaxfield

import flaxfield.arrays.PlacementCandidate
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.fleet.MachineType
import flaxfield.jobs.Job
import flaxfield.jobs.JobChunk
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.MachineRoom
import flaxfield.jobs.Priority
import flaxfield.jobs.Resources
import flaxfield.settings.Address
import flaxfield.settings.Settings
import flaxfield.settings.StateLimits
import flaxfield.settings.Team
import flaxfield.settings.WorkerTimes

/** Builders of test data that the unit tests share. */
object Samples {
    fun spec(
        id: String = "job-1",
        jobKind: JobKind = JobKind.ARRAY,
        taskCount: Int = 4,
        priority: Priority = Priority.IDLE,
        team: String = "red",
        taskResources: Resources = Resources(4.0, 1.0, 16.0),
        preemptible: Boolean = true,
        sameZone: Boolean = false,
        spreadAcrossZones: Boolean = false,
        zone: String? = null,
        machineTypes: Set<String>? = null,
        checkpointIntervalS: Double = 10.0,
        jobClass: String = "class",
    ) = JobSpec(
        id, jobClass, team, jobKind, priority, taskCount, taskResources, "img-1", 4.0, machineTypes, zone, sameZone, spreadAcrossZones,
        preemptible, 60.0, checkpointIntervalS, 2.0, null,
    )

    fun job(spec: JobSpec = spec(), atMs: Long = 0, chunkTasks: Int = 8) =
        Job(spec, atMs, null, emptyList(), 0, 0, chunkTasks, mapOf(0 to JobChunk.empty()), 1uL)

    /** Returns this job with tasks placed, each given as its index and the name of its machine. */
    fun Job.on(vararg placements: Pair<Int, String>): Job =
        place(placements.associate { (index, machineName) -> index to Job.Target(machineName, 1uL) })

    fun machine(name: String, zone: String = "a", preemptible: Boolean = false, machineType: String = "big") =
        Machine(name, machineType, zone, preemptible, MachinePhase.UP, 0, null, 1uL)

    fun candidate(
        name: String,
        free: Resources = Resources(16.0, 4.0, 64.0),
        zone: String = "a",
        preemptible: Boolean = false,
        images: Set<String> = emptySet(),
    ) = PlacementCandidate(machine(name, zone, preemptible), 1uL, MachineRoom(free), images, true)

    fun machineType(label: String, capacity: Resources, rate: Double, low: Double, zones: List<String> = listOf("a", "b")) =
        MachineType(label, capacity, 100.0, 1.0, rate, low, 30.0, zones)

    /** Settings of a single controller whose workers have a lease of 6 s. */
    fun settings(): Settings {
        val address = Address("10.0.0.1", 1)
        return Settings(
            "n-0", "a", address, address, emptyList(), address, address, 1, emptyMap(), emptyList(),
            WorkerTimes(1.0, 6.0, 10.0, 3.0, 20.0), StateLimits(150.0, 60.0, 4.0, 24), 2.0, 3.0, 1000, zones = 1,
        )
    }

    fun team(name: String, gpus: Double = 0.0, gpusMax: Double = 0.0) = Team(name, 0.0, 0.0, gpus, gpusMax)
}
