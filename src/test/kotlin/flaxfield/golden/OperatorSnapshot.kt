package flaxfield.golden

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.arrays.MachineHealth
import flaxfield.arrays.MachineStatus
import flaxfield.drain.DrainPhase
import flaxfield.drain.FleetSnapshot
import flaxfield.jobs.Job
import flaxfield.jobs.JobKind
import flaxfield.jobs.Resources
import flaxfield.settings.Team
import flaxfield.zones.AbandonOrder
import flaxfield.zones.ZoneRecord
import flaxfield.zones.ZoneState
import kotlinx.collections.immutable.persistentHashMapOf

/** A snapshot of a cluster with at least one of each kind of object that operators can list. */
object OperatorSnapshot {
    private fun spec(
        id: String,
        team: String = "red",
        jobClass: String = "train",
        tasks: Int = 4,
        taskResources: Resources = Resources(4.0, 1.0, 16.0),
    ) = Samples.spec(id = id, team = team, jobClass = jobClass, taskCount = tasks, taskResources = taskResources)

    private val unsatisfiable = Resources(640.0, 80.0, 5000.0)

    val jobs: List<Job> = listOf(
        Samples.job(spec("job-1")).on(0 to "host-1", 1 to "host-2", 2 to "host-3", 3 to "host-1"),
        Samples.job(spec("job-2")).on(0 to "host-1"),
        Samples.job(spec("job-3", taskResources = unsatisfiable)),
        Samples.job(
            spec("job-4")
                .copy(jobKind = JobKind.GANG, taskCount = 200, team = "blue", taskResources = Resources(4.0, 0.0, 16.0)),
        ),
        Samples.job(spec("job-5").copy(jobKind = JobKind.GANG)).on(0 to "host-1"),
        Samples.job(spec("job-6")).on(0 to "host-2").copy(cancelledMs = 5),
        Samples.job(spec("job-7", team = "green", tasks = 2)),
        Samples.job(spec("job-8").copy(machineTypes = setOf("none"))),
        Samples.job(spec("job-9", team = "blue", jobClass = "once")).on(0 to "host-4"),
        Samples.job(spec("job-10")).copy(failedMachines = listOf("host-1", "host-2", "host-3", "host-4"), failureCount = 4),
    )

    /** Jobs that are not part of the snapshot, and wait for an excluded machine and for a zone with enough machines. */
    val waitingJobs: List<Job> = listOf(
        Samples.job(spec("job-11").copy(taskResources = Resources(4.0, 0.0, 16.0)))
            .copy(failedMachines = listOf("host-1"), failureCount = 1, failedAtMs = StoredSamples.TIME_MS - 1_000),
        Samples.job(spec("job-12", team = "blue").copy(jobKind = JobKind.GANG, taskCount = 20, sameZone = true)),
    )

    private val machines = listOf(
        Samples.machine("host-1", zone = "zone-a"),
        Samples.machine("host-2", zone = "zone-a", preemptible = true).copy(cordon = "drain-1"),
        Samples.machine("host-3", zone = "zone-a").copy(cordon = "drain-2"),
        Samples.machine("host-4", zone = "zone-b"),
        Samples.machine("host-5", zone = "zone-b", machineType = "small"),
    )

    private val machineStatuses = listOf(
        MachineHealth.OK,
        MachineHealth.OK,
        MachineHealth.OK,
        MachineHealth.SILENT,
        MachineHealth.FAULTY,
    ).mapIndexed { i, state -> "host-${i + 1}" to MachineStatus(state, 1uL, "10.0.0.${i + 1}:80", emptyList()) }

    private val drains = listOf(
        StoredSamples.drain,
        StoredSamples.drainWithoutTarget.copy(id = "drain-2", phase = DrainPhase.PAUSED),
        StoredSamples.failedDrain.copy(id = "drain-3"),
    )

    private val lostZone = ZoneRecord("zone-b", ZoneState.LOST, 2, StoredSamples.TIME_MS, 2, 3, 1, 5, 6, 7uL)

    val teams = mapOf(
        "red" to Team("red", 64.0, 0.0, 8.0, 0.0),
        "blue" to Team("blue", 32.0, 0.0, 4.0, 0.0),
        "green" to Team("green", 0.0, 4.0, 0.0, 0.5),
    )

    val snapshot = FleetSnapshot(
        revision = 99uL,
        assignment = StoredSamples.assignment,
        jobs = persistentHashMapOf(*jobs.map { it.id to it }.toTypedArray()),
        machines = persistentHashMapOf(*machines.map { it.name to it }.toTypedArray()),
        machineStatuses = persistentHashMapOf(*machineStatuses.toTypedArray()),
        machineTypes = StoredSamples.machineTypes.associateBy { it.label },
        drains = persistentHashMapOf(*drains.map { it.id to it }.toTypedArray()),
        ledgers = persistentHashMapOf("blue" to StoredSamples.ledger),
        configs = persistentHashMapOf(
            "n-0" to StoredSamples.config,
            "n-1" to StoredSamples.config.copy(incarnation = "run-1"),
        ),
        zones = mapOf("zone-b" to lostZone),
        abandons = persistentHashMapOf(
            "zone-b/batch" to AbandonOrder("zone-b", "batch", 2, StoredSamples.TIME_MS, 7uL),
        ),
    )
}
