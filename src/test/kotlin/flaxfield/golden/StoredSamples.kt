package flaxfield.golden

import flaxfield.Samples
import flaxfield.arrays.MachineHealth
import flaxfield.arrays.MachineStatus
import flaxfield.arrays.ShardSummary
import flaxfield.drain.BudgetLimit
import flaxfield.drain.Capacity
import flaxfield.drain.Disruption
import flaxfield.drain.DrainPhase
import flaxfield.drain.DrainRecord
import flaxfield.drain.FleetConfig
import flaxfield.drain.Ledger
import flaxfield.drain.RepeatPolicy
import flaxfield.drain.Selector
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.fleet.MachineReservation
import flaxfield.fleet.MachineType
import flaxfield.fleet.Rental
import flaxfield.jobs.Job
import flaxfield.jobs.JobChunk
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Placement
import flaxfield.jobs.Priority
import flaxfield.jobs.Resources
import flaxfield.jobs.TaskId
import flaxfield.membership.Member
import flaxfield.membership.ShardAssignment
import java.util.BitSet

/** Values for all kinds of stored records. Every field is set in at least one of them. */
object StoredSamples {
    const val TIME_MS = 1_700_000_000_123L

    /** Larger than any signed 64-bit number: counters are unsigned. */
    const val LARGE_COUNT: ULong = 18_446_744_073_709_551_615uL
    const val VERSION: ULong = 7uL

    val plainSpec = Samples.spec()

    val fullSpec = JobSpec(
        "job-42", "train", "blue", JobKind.GANG, Priority.PROD, 3,
        Resources(3.5, 2.0, 12.25), "img-ü", 6.5, setOf("big", "small"), "zone-a",
        sameZone = true, spreadAcrossZones = true, preemptible = false, expectedRuntimeS = 600.5,
        checkpointIntervalS = 30.0, checkpointDurationS = 4.5, deadlineS = 3600.0,
    )

    fun bits(vararg indexes: Int) = BitSet().apply { for (i in indexes) set(i) }

    val chunk = JobChunk(5, bits(8, 9, 10, 14), placed(11, 13), VERSION)

    val chunkWithInterrupted = chunk.copy(interrupted = setOf(12, 15))

    private fun placed(vararg indexes: Int) = indexes.associateWith { Placement(it, 4, "host-$it", LARGE_COUNT, stopping = it % 2 == 1) }

    val newJob = Job(plainSpec, TIME_MS, null, emptyList(), 0, 0, 8, mapOf(0 to JobChunk.empty().copy(version = VERSION)), VERSION)

    val fullJob = Job(
        fullSpec, TIME_MS, TIME_MS + 1, listOf("host-1", "host-2"), 3, TIME_MS + 2, 8,
        mapOf(0 to JobChunk(3, bits(0), placed(1, 2), VERSION, setOf(2))), VERSION,
    )

    val failedJob = newJob.copy(failedMachines = listOf("host-1"), failureCount = 1, failedAtMs = TIME_MS + 3)

    val specsOfAllKinds = listOf(
        plainSpec.copy(jobKind = JobKind.ARRAY, priority = Priority.IDLE),
        plainSpec.copy(jobKind = JobKind.SERVICE, priority = Priority.STANDARD),
        plainSpec.copy(jobKind = JobKind.GANG, priority = Priority.HIGH),
        fullSpec,
    )

    val machine = Machine("host-1", "big", "zone-a", true, MachinePhase.UP, TIME_MS, null, VERSION)
    val reservedMachine = machine.copy(phase = MachinePhase.DRAINING, reservation = MachineReservation("job-42", LARGE_COUNT, 3, true, 6))
    val cordonedMachine = machine.copy(preemptible = false, phase = MachinePhase.RETIRING, cordon = "drain-1")
    val rental = Rental("rental-1", "big", "zone-a", true, 12, TIME_MS, VERSION)

    val shardSummary = ShardSummary(
        LARGE_COUNT,
        MachineHealth.entries.associate { "host-$it" to MachineStatus(it, 9uL, "10.0.0.1:80", listOf("img-1", "img-2")) },
    )

    val member = Member("n-0", "run-0", "zone-a")
    val otherMember = Member("n-1", "run-1", "zone-b")
    val assignment = ShardAssignment(member, listOf(member, otherMember), VERSION)

    val machineTypes = listOf(
        MachineType("big", Resources(64.0, 8.0, 512.5), 800.0, 1.25, 24.5, 8.75, 90.0, listOf("zone-a", "zone-b")),
        MachineType("small", Resources(4.0, 0.0, 16.0), 100.0, 0.5, 0.25, 0.25, 30.0, listOf("zone-a")),
    )

    val drain = DrainRecord(
        "drain-1",
        Selector(setOf("host-2", "host-1"), "big", "zone-a", 3600.0, 12.5),
        TIME_MS,
        DrainPhase.ACTIVE,
        4,
        2,
        "",
        VERSION,
    )
    val drainWithoutTarget = drain.copy(selector = Selector(emptySet(), null, null, null, null), target = null, cordoned = 0)
    val failedDrain = drain.copy(phase = DrainPhase.FAILED, note = "no machine fits")

    val ledger = Ledger(
        "blue",
        mapOf(TaskId("job-1", 0) to Disruption(2, "drain-1"), TaskId("job-42", 99_999) to Disruption(1, "drain-2")),
        VERSION,
    )

    val config = FleetConfig(
        "run-0",
        mapOf("blue" to BudgetLimit.Percent(12.5), "red" to BudgetLimit.Absolute(Capacity(16.0, 2.5))),
        BudgetLimit.Percent(10.0),
        mapOf("batch" to RepeatPolicy.ANY, "once" to RepeatPolicy.NEVER, "train" to RepeatPolicy.CHECKPOINTED),
        RepeatPolicy.CHECKPOINTED,
        4,
        200,
        mapOf("train" to 0, "batch" to 3),
    )
}
