package flaxfield.drain

import flaxfield.Samples
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/**
 * Simulates overlapping drains under shared budgets. Independent checkers verify the records after each transaction and
 * the unavailable capacity on the workers after each stop.
 */
class DrainSimulationTest {
    private val halfOfBig = Selector(emptySet(), "big", null, null, 50.0)
    private val zoneA = Selector(emptySet(), null, "a", null, null)

    private fun twoDrains(scenario: DrainScenario) {
        scenario.at(40.0) { scenario.order(DrainOrder.Start("d-1", halfOfBig), 0) }
        scenario.at(45.0) { scenario.order(DrainOrder.Start("d-2", zoneA), 1) }
    }

    private fun assertDone(scenario: DrainScenario, vararg drains: String) {
        assertEquals(emptyList<String>(), scenario.violations())
        assertEquals(drains.map { "done" }, drains.map { scenario.phase(it) }, scenario.snapshot().drains.toString())
        assertEquals(emptyList<String>(), scenario.unfinished())
        // Counts stopped tasks rather than evictions, since an eviction covers as many machines as the budgets allow.
        val stopRequests = scenario.capacityChecker.stopRequests
        assertTrue(
            scenario.recordChecker.evictions.isNotEmpty() && stopRequests.values.sum() >= MIN_STOP_REQUESTS,
            "$stopRequests",
        )
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6])
    fun `two overlapping drains never make more of a team unavailable than its budget allows`(seed: Int) {
        val scenario = DrainScenario(DrainScenarioPlan(seed))
        twoDrains(scenario)
        scenario.run(END_S)
        assertDone(scenario, "d-1", "d-2")
        assertEquals(emptyList<String>(), scenario.capacityChecker.violations.take(5))
        // The scenario proves nothing unless each team's budget is exhausted at some point.
        val maxUnavailable = scenario.capacityChecker.maxUnavailable
        assertTrue(
            maxUnavailable.all { (team, max) -> !DrainScenarioPlan.BUDGETS.getValue(team).exceeds(max) },
            "$maxUnavailable",
        )
    }

    @ParameterizedTest
    @CsvSource(
        "11, controller-crashes", "12, leader-failovers", "13, ten-leader-failovers", "14, full-controller-restart",
        "15, long-controller-outage", "16, store-outage", "17, long-store-outage", "18, lost-transaction-responses",
        "19, delayed-transactions",
        "20, lost-store-responses", "21, leader-isolation", "22, controller-isolation", "23, controller-pauses",
        "24, machine-losses", "25, worker-hangs", "26, transient-outbound-partition", "27, transient-inbound-partition",
        "28, inbound-partition",
        "29, zone-partition", "30, delayed-duplicates+duplicates-at-failover", "31, restart-storm",
        "32, repeated-cancellations", "33, cpu-starvation", "34, lost-transaction-responses+ten-leader-failovers",
        "35, delayed-transactions+leader-failovers",
        "36, store-outage+controller-crashes+machine-losses",
        "37, lost-store-responses+lost-transaction-responses+delayed-transactions+controller-crashes",
        "38, failing-machine", "39, link-partitions+machine-losses+repeated-cancellations",
        "40, slow-store+leader-failovers+cancellation-during-worker-hangs",
    )
    fun `evictions stay within the budgets and the drains finish under injected faults`(seed: Int, faults: String) {
        val scenario = DrainScenario(DrainScenarioPlan(seed, faults))
        twoDrains(scenario)
        scenario.run(LONG_END_S)
        assertDone(scenario, "d-1", "d-2")
    }

    @ParameterizedTest
    @ValueSource(ints = [51, 52, 53])
    fun `the next leader completes an eviction after a leader crash between its commit and the stop requests`(seed: Int) {
        val scenario = DrainScenario(DrainScenarioPlan(seed))
        twoDrains(scenario)
        var kills = 0
        scenario.recordChecker.onEviction = { if (kills++ % 5 == 0) scenario.cluster.kill(scenario.cluster.leader, 4.0) }
        scenario.run(LONG_END_S)
        assertDone(scenario, "d-1", "d-2")
        assertEquals(emptyList<String>(), scenario.capacityChecker.violations.take(5))
        assertTrue(kills > 5, "$kills")
    }

    @ParameterizedTest
    @ValueSource(ints = [54, 55, 56])
    fun `a leader crash between stop and restart releases no ledger entry of a task that does not run`(seed: Int) {
        val scenario = DrainScenario(DrainScenarioPlan(seed))
        twoDrains(scenario)
        var stopRequests = 0
        scenario.capacityChecker.onStopRequest = { if (stopRequests++ % 9 == 0) scenario.cluster.kill(scenario.cluster.leader, 0.5) }
        scenario.run(LONG_END_S)
        assertDone(scenario, "d-1", "d-2")
        assertTrue(stopRequests > 9, "$stopRequests")
    }

    @ParameterizedTest
    @ValueSource(ints = [57, 58])
    fun `evictions stay within the budgets when a store outage begins with one of them`(seed: Int) {
        val scenario = DrainScenario(DrainScenarioPlan(seed))
        twoDrains(scenario)
        var evictions = 0
        scenario.recordChecker.onEviction = {
            if (++evictions == 3) {
                scenario.cluster.store.outage = true
                scenario.at(9.0) { scenario.cluster.store.outage = false }
            }
        }
        scenario.run(LONG_END_S)
        assertDone(scenario, "d-1", "d-2")
    }

    private fun job(
        id: String,
        jobKind: JobKind = JobKind.ARRAY,
        tasks: Int = 2,
        jobClass: String = "train",
        team: String = "red",
        checkpointIntervalS: Double = 5.0,
        expectedRuntimeS: Double = 150.0,
        taskResources: Resources = Resources(4.0, 1.0, 16.0),
    ): JobSpec = Samples.spec(
        id, jobKind, tasks, Priority.STANDARD, team, taskResources, preemptible = false,
        checkpointIntervalS = checkpointIntervalS, jobClass = jobClass,
    ).copy(expectedRuntimeS = expectedRuntimeS, checkpointDurationS = 1.0, imageGb = 1.0)

    @Test
    fun `tasks that must not be restarted run to completion on their cordoned machines`() {
        val jobs = listOf(
            job("job-1", jobClass = "deed", expectedRuntimeS = 120.0),
            // The class allows restarts from checkpoints, but the job writes none.
            job("job-2", jobClass = "train", checkpointIntervalS = 0.0, expectedRuntimeS = 130.0),
            job("job-3", expectedRuntimeS = 160.0),
            job("job-4", jobClass = "batch", checkpointIntervalS = 0.0, expectedRuntimeS = 160.0),
        )
        val scenario = DrainScenario(DrainScenarioPlan(61, jobs = jobs))
        scenario.at(30.0) { scenario.order(DrainOrder.Start("d-1", Selector(emptySet(), "big", null, null, null))) }
        scenario.run(100.0)
        val waits = DrainPlanner(scenario.snapshot()).plan().waits.getValue("d-1").values
        assertTrue(waits.any { it is WaitReason.RestartForbidden && it.job == "job-1" && it.policy == RepeatPolicy.NEVER }, "$waits")
        scenario.run(END_S)
        assertEquals("done", scenario.phase("d-1"))
        val stopRequests = scenario.capacityChecker.stopRequests
        assertEquals(emptySet<String>(), stopRequests.keys.intersect(setOf("job-1", "job-2")), "$stopRequests")
        assertEquals(emptyList<String>(), scenario.violations() + scenario.capacityChecker.violations + scenario.unfinished())
    }

    @Test
    fun `a gang larger than its team's budget is never evicted while other tasks are`() {
        val jobs = listOf(
            // Three members with 3 accelerators each exceed red's whole budget of 3 accelerators.
            job("job-1", JobKind.GANG, 3, taskResources = Resources(12.0, 3.0, 40.0), expectedRuntimeS = 140.0),
            job("job-2", team = "blue", tasks = 8, expectedRuntimeS = 200.0),
        )
        val scenario = DrainScenario(DrainScenarioPlan(62, jobs = jobs))
        scenario.at(30.0) { scenario.order(DrainOrder.Start("d-1", Selector(emptySet(), "big", null, null, null))) }
        scenario.run(110.0)
        val waits = DrainPlanner(scenario.snapshot()).plan().waits.getValue("d-1").values
        assertTrue(waits.any { it is WaitReason.LargerThanBudget && it.job == "job-1" }, "$waits")
        assertTrue((scenario.capacityChecker.stopRequests["job-2"] ?: 0) > 0, "${scenario.capacityChecker.stopRequests}")
        scenario.run(END_S)
        assertEquals("done", scenario.phase("d-1"))
        assertNull(scenario.capacityChecker.stopRequests["job-1"])
        assertEquals(emptyList<String>(), scenario.violations() + scenario.capacityChecker.violations + scenario.unfinished())
    }

    @Test
    fun `gangs are evicted as a whole and lose no checkpointed work`() {
        val jobs = (1..4).map { job("job-$it", JobKind.GANG, 2, team = DrainScenario.TEAMS[it % 3], expectedRuntimeS = 150.0) }
        val scenario = DrainScenario(DrainScenarioPlan(63, jobs = jobs))
        scenario.at(30.0) { scenario.order(DrainOrder.Start("d-1", Selector(emptySet(), "big", null, null, null))) }
        scenario.run(END_S)
        assertEquals("done", scenario.phase("d-1"))
        for (j in jobs) assertEquals(0, (scenario.capacityChecker.stopRequests[j.id] ?: 0) % 2, "${scenario.capacityChecker.stopRequests}")
        assertTrue(scenario.capacityChecker.stopRequests.values.sum() >= 4, "${scenario.capacityChecker.stopRequests}")
        assertEquals(emptyList<String>(), scenario.violations() + scenario.capacityChecker.violations + scenario.unfinished())
    }

    @Test
    fun `no eviction is committed while lost tasks exhaust the budget`() {
        val scenario = DrainScenario(DrainScenarioPlan(64))
        // Half of the machines terminate at once before the drain is ordered.
        scenario.at(38.0) { for (w in scenario.cluster.cloud.workers.values.filterIndexed { i, _ -> i % 2 == 0 }) w.terminate() }
        scenario.at(45.0) { scenario.order(DrainOrder.Start("d-1", zoneA)) }
        var evictions = 0
        scenario.recordChecker.onEviction = { evictions++ }
        scenario.run(LONG_END_S)
        assertDone(scenario, "d-1")
        assertTrue(evictions > 0)
    }

    @Test
    fun `a termination notice during a drain is handled once and counts against the budget`() {
        val scenario = DrainScenario(DrainScenarioPlan(65))
        twoDrains(scenario)
        scenario.recordChecker.onEviction = {
            val drained = scenario.snapshot().machines.values.filter { it.cordon != null }.minByOrNull { it.name }
            drained?.let { scenario.cluster.cloud.workers[it.name] }?.let { w ->
                w.terminationNoticeS = 20.0
                scenario.at(20.0) { w.terminate() }
            }
            scenario.recordChecker.onEviction = {}
        }
        scenario.run(LONG_END_S)
        assertDone(scenario, "d-1", "d-2")
    }

    @Test
    fun `a cancelled drain uncordons its machines and a new drain evicts from them`() {
        val scenario = DrainScenario(DrainScenarioPlan(66))
        scenario.at(40.0) { scenario.order(DrainOrder.Start("d-1", zoneA), 0) }
        scenario.at(50.0) { scenario.order(DrainOrder.Cancel("d-1"), 1) }
        scenario.at(51.0) { scenario.order(DrainOrder.Cancel("d-1"), 2) }
        scenario.run(62.0)
        assertEquals("cancelled", scenario.phase("d-1"))
        val cordoned = scenario.snapshot().machines.values.filter { it.cordon != null && it.isSchedulable }
        assertEquals(emptyList<Any>(), cordoned)
        scenario.at(1.0) { scenario.order(DrainOrder.Start("d-2", zoneA), 0) }
        scenario.run(END_S)
        assertDone(scenario, "d-2")
        assertEquals(emptyList<String>(), scenario.capacityChecker.violations.take(5))
    }

    @Test
    fun `a paused drain evicts nothing until it is resumed`() {
        val scenario = DrainScenario(DrainScenarioPlan(67))
        scenario.at(40.0) { scenario.order(DrainOrder.Start("d-1", zoneA), 0) }
        scenario.at(46.0) { scenario.order(DrainOrder.Pause("d-1"), 1) }
        scenario.run(49.0)
        val evictionsBefore = scenario.recordChecker.evictions.size
        val cordoned = scenario.snapshot().machines.values.count { it.cordon == "d-1" }
        scenario.run(75.0)
        assertEquals(evictionsBefore, scenario.recordChecker.evictions.size)
        assertTrue(cordoned > 0 && scenario.phase("d-1") == "paused")
        scenario.order(DrainOrder.Resume("d-1"), 2)
        scenario.run(END_S)
        assertDone(scenario, "d-1")
    }

    @Test
    fun `the strictest budget applies while fleet files differ and nothing is evicted while one is missing`() {
        val lenientBudgets = mapOf("red" to Amount(40.0, 10.0), "blue" to Amount(40.0, 10.0), "green" to Amount(40.0, 10.0))
        // The checkers use the strict budgets, which only one of the three controllers has.
        val configOf = { i: Int -> DrainScenario.config(if (i == 1) DrainScenarioPlan.BUDGETS else lenientBudgets) }
        val scenario = DrainScenario(DrainScenarioPlan(68, configOf = configOf))
        twoDrains(scenario)
        scenario.run(END_S)
        assertDone(scenario, "d-1", "d-2")
        assertEquals(emptyList<String>(), scenario.capacityChecker.violations.take(5))

        val mixed = DrainScenario(DrainScenarioPlan(69, configOf = { i -> if (i == 2) null else DrainScenario.config() }))
        mixed.at(40.0) { mixed.order(DrainOrder.Start("d-1", zoneA), 0) }
        mixed.run(90.0)
        val waits = DrainPlanner(mixed.snapshot()).plan().waits.getValue("d-1").values
        assertEquals(listOf<WaitReason>(WaitReason.WithoutConfig(listOf("n-2"))), waits.distinct())
        assertEquals(emptyMap<String, Int>(), mixed.capacityChecker.stopRequests)
        assertEquals(emptyList<String>(), mixed.violations())
    }

    @Test
    fun `a retried order gets the first result, also from another controller and after a restart of all controllers`() {
        val scenario = DrainScenario(DrainScenarioPlan(70))
        scenario.at(40.0) { scenario.order(DrainOrder.Start("d-1", halfOfBig), 0) }
        scenario.at(46.0) { for (i in 0..2) scenario.cluster.kill(i, 2.0) }
        scenario.at(60.0) { scenario.order(DrainOrder.Start("d-1", halfOfBig), 2) }
        scenario.at(61.0) { scenario.order(DrainOrder.Start("d-1", zoneA), 1) }
        scenario.run(LONG_END_S)
        assertDone(scenario, "d-1")
        val finalResults = scenario.orderResults.filter { it !is OrderResult.Refused || it.code == OrderErrorCode.CONFLICT }
        assertEquals(
            listOf("recorded", "recorded", "refused"),
            finalResults.map { if (it is OrderResult.Recorded) "recorded" else "refused" },
        )
    }

    private companion object {
        const val END_S = 420.0
        const val LONG_END_S = 600.0
        const val MIN_STOP_REQUESTS = 8
    }
}
