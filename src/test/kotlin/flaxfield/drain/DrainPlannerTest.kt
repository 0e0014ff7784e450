package flaxfield.drain

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.arrays.MachineHealth
import flaxfield.arrays.MachineStatus
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.Job
import flaxfield.jobs.JobKind
import flaxfield.jobs.TaskId
import flaxfield.membership.Member
import flaxfield.membership.ShardAssignment
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Checks the decisions of [DrainPlanner] on single snapshots. Each task takes 4 CPUs and 1 accelerator. */
class DrainPlannerTest {
    private val member = Member("n-0", "run", "a")
    private val anyMachine = Selector(emptySet(), "big", null, null, null)

    private fun config(budgets: Map<String, BudgetLimit>) = FleetConfig(
        "run",
        budgets,
        BudgetLimit.Absolute(capacity(2)),
        mapOf("once" to RepeatPolicy.NEVER),
        RepeatPolicy.CHECKPOINTED,
        0,
        100,
    )

    private fun capacity(tasks: Int) = Capacity(4.0, 1.0) * tasks

    private fun absolute(tasks: Int) = BudgetLimit.Absolute(capacity(tasks))

    private fun drain(id: String, orderedMs: Long = 10, phase: DrainPhase = DrainPhase.ACTIVE, target: Int? = 9, cordoned: Int = 9) =
        DrainRecord(id, anyMachine, orderedMs, phase, target, cordoned, "", 1uL)

    private fun machine(name: String, cordon: String? = "d-1") = Samples.machine(name).copy(cordon = cordon)

    private fun snapshot(
        jobs: List<Job>,
        machines: List<Machine>,
        drains: List<DrainRecord> = listOf(drain("d-1")),
        budgets: Map<String, BudgetLimit> = emptyMap(),
        ledgers: List<Ledger> = emptyList(),
        unreachable: Set<String> = emptySet(),
    ) = FleetSnapshot(
        revision = 9uL,
        assignment = ShardAssignment(member, listOf(member), 5uL),
        jobs = jobs.associateBy { it.id }.toPersistentHashMap(),
        machines = machines.associateBy { it.name }.toPersistentHashMap(),
        machineStatuses = machines.associate {
            it.name to
                MachineStatus(if (it.name in unreachable) MachineHealth.SILENT else MachineHealth.OK, 1uL, "", emptyList())
        }.toPersistentHashMap(),
        drains = drains.associateBy { it.id }.toPersistentHashMap(),
        ledgers = ledgers.associateBy { it.team }.toPersistentHashMap(),
        configs = persistentHashMapOf("n-0" to config(budgets)),
    )

    private fun array(id: String, team: String, vararg placements: Pair<Int, String>, jobClass: String = "class") =
        Samples.job(Samples.spec(id = id, team = team, taskCount = 8, jobClass = jobClass)).on(*placements)

    private fun evictions(s: FleetSnapshot) = DrainPlanner(s).plan().actions.filterIsInstance<DrainAction.Evict>()
        .map { eviction ->
            eviction.machines.joinToString(" ") { it.name } to
                eviction.units.flatMap { unit -> unit.tasks.map { "${unit.job.id}/$it" } }
        }

    private fun waits(s: FleetSnapshot, drain: String = "d-1") = DrainPlanner(s).plan().waits[drain].orEmpty()

    @Test
    fun `evicts from the machines that use least of their teams' budgets first, until the budgets are exhausted`() {
        val jobs = listOf(
            array("job-1", "red", 0 to "h-1", 1 to "h-1", 2 to "h-2"),
            array(
                "job-2",
                "blue",
                0 to "h-3",
                1 to "h-3",
            ),
        )
        val machines = listOf(machine("h-1"), machine("h-2"), machine("h-3"))
        // One task of red, both of blue, then part of the last machine, as red's budget of two tasks allows one more.
        val redFirst = listOf("h-2 h-3 h-1" to listOf("job-1/2", "job-2/0", "job-2/1", "job-1/0"))
        assertEquals(redFirst, evictions(snapshot(jobs, machines)))
        // With a larger budget, blue uses the smaller fraction of its budget and goes first.
        val large = mapOf("blue" to absolute(40))
        val blueFirst = listOf("h-3 h-2 h-1" to listOf("job-2/0", "job-2/1", "job-1/2", "job-1/0"))
        assertEquals(blueFirst, evictions(snapshot(jobs, machines, budgets = large)))
    }

    @Test
    fun `evicts part of the machine with the fewest remaining tasks if no machine can be emptied`() {
        val jobs = listOf(
            array("job-1", "red", 0 to "h-1", 1 to "h-1", 2 to "h-1"),
            array(
                "job-2",
                "red",
                0 to "h-2",
                1 to "h-2",
                2 to "h-2",
                3 to "h-2",
            ),
        )
        assertEquals(
            listOf("h-1" to listOf("job-1/0", "job-1/1")),
            evictions(snapshot(jobs, listOf(machine("h-1"), machine("h-2")))),
        )
    }

    @Test
    fun `counts lost, stopping, unreachable and evicted tasks against the budget`() {
        val machines = listOf(machine("h-1"), machine("h-2", null))
        val job = array("job-1", "red", 0 to "h-1")
        val other = array("job-2", "red", 0 to "h-2", 1 to "h-2")
        val cases = mapOf(
            "none unavailable" to snapshot(listOf(job, other), machines),
            "lost" to snapshot(listOf(job, other.free(listOf(0, 1)).interrupt(listOf(0, 1))), machines),
            "stopping" to snapshot(listOf(job, other.stop(listOf(0, 1))), machines),
            "unreachable" to snapshot(listOf(job, other), machines, unreachable = setOf("h-2")),
            "evicted" to snapshot(
                listOf(job, other),
                machines,
                ledgers = listOf(
                    Ledger(
                        "red",
                        listOf(TaskId("job-2", 0), TaskId("job-2", 1)).associateWith {
                            Disruption(0, "d-0")
                        },
                        3uL,
                    ),
                ),
            ),
        )
        for ((name, s) in cases) assertEquals(if (name == "none unavailable") 1 else 0, evictions(s).size, name)
        assertTrue(waits(cases.getValue("lost")).getValue("h-1") is WaitReason.BudgetExhausted)
    }

    @Test
    fun `does not count lost tasks of cancelled or crash-looping jobs against the budget`() {
        val machines = listOf(machine("h-1"), machine("h-2", null))
        val job = array("job-1", "red", 0 to "h-1")
        val lost = array("job-2", "red", 0 to "h-2", 1 to "h-2").free(listOf(0, 1)).interrupt(listOf(0, 1))
        assertEquals(1, evictions(snapshot(listOf(job, lost.copy(cancelledMs = 1)), machines)).size)
        assertEquals(
            1,
            evictions(snapshot(listOf(job, lost.copy(failureCount = 4, failedMachines = listOf("x", "y"))), machines)).size,
        )
    }

    @Test
    fun `never rounds a percentage budget up`() {
        val jobs = listOf(array("job-1", "red", *(0..7).map { it to "h-$it" }.toTypedArray()))
        val machines = (0..7).map { machine("h-$it") }
        // 12 % of 8 tasks is less than one task, 13 % is one and 30 % is two.
        for ((percent, size) in mapOf(12.0 to 0, 13.0 to 1, 30.0 to 1)) {
            val s = snapshot(jobs, machines, budgets = mapOf("red" to BudgetLimit.Percent(percent)))
            assertEquals(size, evictions(s).size, "$percent")
        }
        val small = snapshot(jobs, machines, budgets = mapOf("red" to BudgetLimit.Percent(12.0)))
        assertTrue(waits(small).values.all { it is WaitReason.LargerThanBudget })
    }

    @Test
    fun `does not let a younger drain use the budget that an older drain waits for`() {
        val gang = Samples.job(Samples.spec(id = "job-1", team = "red", jobKind = JobKind.GANG, taskCount = 2)).on(
            0 to "h-1",
            1 to "h-1",
        )
        val lost = array("job-2", "red", 0 to "h-3").free(listOf(0)).interrupt(listOf(0))
        val jobs = listOf(gang, array("job-3", "red", 0 to "h-2"), lost)
        val machines = listOf(machine("h-1", "d-1"), machine("h-2", "d-2"))
        val drains = listOf(drain("d-1", orderedMs = 10), drain("d-2", orderedMs = 20))
        // The budget of two tasks has one left: enough for the younger drain's task, but not for the older drain's gang.
        val s = snapshot(jobs, machines, drains)
        assertEquals(emptyList<Any>(), evictions(s))
        assertEquals(WaitReason.OlderDrainFirst("d-1", "red"), waits(s, "d-2").getValue("h-2"))
        assertEquals(1, evictions(snapshot(jobs, machines, drains.map { it.copy(orderedMs = 30 - it.orderedMs) })).size)
        // A drain that waits for red's budget does not block evictions of blue.
        val blue = snapshot(listOf(gang, lost, array("job-4", "blue", 0 to "h-2")), machines, drains)
        assertEquals(listOf("h-2" to listOf("job-4/0")), evictions(blue))
    }

    @Test
    fun `evicts nothing from a machine with a task that must not be evicted`() {
        val nonRestartable = array("job-1", "red", 0 to "h-1", jobClass = "once")
        val uncheckpointed = array("job-2", "red", 0 to "h-2").let { it.copy(spec = it.spec.copy(checkpointIntervalS = 0.0)) }
        val large = Samples.job(Samples.spec(id = "job-3", team = "red", jobKind = JobKind.GANG, taskCount = 3)).on(
            0 to "h-3",
            1 to "h-3",
            2 to "h-3",
        )
        val other = array("job-4", "blue", 0 to "h-1", 1 to "h-2", 2 to "h-3")
        val s = snapshot(listOf(nonRestartable, uncheckpointed, large, other), listOf(machine("h-1"), machine("h-2"), machine("h-3")))
        assertEquals(emptyList<Any>(), evictions(s))
        assertEquals(WaitReason.RestartForbidden("job-1", "once", RepeatPolicy.NEVER), waits(s).getValue("h-1"))
        assertEquals(WaitReason.RestartForbidden("job-2", "class", RepeatPolicy.CHECKPOINTED), waits(s).getValue("h-2"))
        assertEquals(WaitReason.LargerThanBudget("job-3", "red", capacity(3), capacity(2)), waits(s).getValue("h-3"))
    }

    @Test
    fun `counts, cordons, retires and uncordons machines`() {
        val machines = listOf(machine("h-1", null), machine("h-2", null), machine("h-3", null).copy(rentedMs = 50))
        fun actions(d: DrainRecord, m: List<Machine> = machines) = DrainPlanner(snapshot(emptyList(), m, listOf(d))).plan().actions
        // A machine that was rented after the order does not match.
        assertEquals(2, (actions(drain("d-1", target = null, cordoned = 0)).single() as DrainAction.SetTarget).target)
        val half = drain("d-1", target = null, cordoned = 0).copy(selector = anyMachine.copy(percent = 50.0))
        assertEquals(1, (actions(half).single() as DrainAction.SetTarget).target)
        val cordon = actions(drain("d-1", target = 1, cordoned = 0)).single() as DrainAction.Cordon
        assertEquals(listOf("h-1"), cordon.machines.map { it.name })
        val cordoned = listOf(machine("h-1"), machine("h-2"))
        assertEquals(
            2,
            (actions(drain("d-1", target = 2, cordoned = 2), cordoned).single() as DrainAction.Retire).machines.size,
        )
        val retiring = cordoned.map { it.copy(phase = MachinePhase.RETIRING) }
        assertEquals(emptyList<Any>(), actions(drain("d-1", target = 2, cordoned = 2), retiring))
        assertEquals(
            DrainPhase.DONE,
            (actions(drain("d-1", target = 2, cordoned = 2), emptyList()).single() as DrainAction.Finish).phase,
        )
        val cancelled = drain("d-1", phase = DrainPhase.CANCELLING)
        assertEquals(2, (actions(cancelled, cordoned).single() as DrainAction.Uncordon).machines.size)
        assertEquals(DrainPhase.CANCELLED, (actions(cancelled, retiring).single() as DrainAction.Finish).phase)
    }

    @Test
    fun `evicts nothing until all machines of the drain are cordoned`() {
        val job = array("job-1", "red", 0 to "h-1")
        val machines = listOf(machine("h-1"), machine("h-2", null))
        val half = snapshot(listOf(job), machines, listOf(drain("d-1", target = 2, cordoned = 1)))
        assertEquals(emptyList<Any>(), evictions(half))
        assertEquals(1, DrainPlanner(half).plan().actions.filterIsInstance<DrainAction.Cordon>().size)
        // One of the counted machines has been lost since: the drain does not wait for it.
        assertEquals(
            1,
            evictions(snapshot(listOf(job), machines.take(1), listOf(drain("d-1", target = 2, cordoned = 1)))).size,
        )
    }

    @Test
    fun `makes an eviction conditional on all records that it was planned from`() {
        val job = array("job-1", "red", 0 to "h-1")
        val s = snapshot(listOf(job), listOf(machine("h-1"))).copy(lossMarks = persistentHashMapOf("n-0" to 7uL))
        val eviction = DrainPlanner(s).plan().actions.filterIsInstance<DrainAction.Evict>().single()
        val transaction = EvictionTransaction(s, 5uL).build(eviction.drain, eviction.machines, eviction.units)
        val expected = mapOf(
            "live/assignment" to 5uL,
            "live/fleet/drain/d-1" to 1uL,
            "live/fleet/ledger/red" to 0uL,
            "live/fleet/loss/n-0" to 7uL,
            "live/host/h-1" to 1uL,
            "live/job/job-1" to 1uL,
        )
        assertEquals(expected, transaction.conditions)
        assertEquals(setOf("live/job/job-1", "live/fleet/ledger/red"), transaction.changes.mapTo(HashSet()) { it.key })
    }
}
