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
 * Overlapping drains under shared budgets, in a cluster of stand-ins; every step is recounted by checkers of their own.
 */
class DrainSimulationTest {
    private val half = Selector(emptySet(), "big", null, null, 50.0)
    private val zoneA = Selector(emptySet(), null, "a", null, null)

    private fun twoDrains(day: DrainDay) {
        day.at(40.0) { day.order(DrainOrder.Start("d-1", half), 0) }
        day.at(45.0) { day.order(DrainOrder.Start("d-2", zoneA), 1) }
    }

    private fun assertDone(day: DrainDay, vararg drains: String) {
        assertEquals(emptyList<String>(), day.violations())
        assertEquals(drains.map { "done" }, drains.map { day.phase(it) }, day.snapshot().drains.toString())
        assertEquals(emptyList<String>(), day.unfinished())
        // Steps take as many machines as the budgets hold, so that tasks are counted, not steps.
        assertTrue(day.records.steps.isNotEmpty() && day.workers.halts.values.sum() >= MIN_HALTS, "${day.workers.halts}")
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6])
    fun `two overlapping drains share one budget and no team ever lacks more than it`(seed: Int) {
        val day = DrainDay(DayPlan(seed))
        twoDrains(day)
        day.run(END_S)
        assertDone(day, "d-1", "d-2")
        assertEquals(emptyList<String>(), day.workers.violations.take(5))
        // A day on which no budget is ever spent shows nothing.
        assertTrue(day.workers.most.all { (team, most) -> !DayPlan.BUDGETS.getValue(team).above(most) }, "${day.workers.most}")
    }

    @ParameterizedTest
    @CsvSource(
        "11, kill", "12, handover", "13, tenleaders", "14, all", "15, away", "16, outage", "17, longoutage", "18, silent", "19, latewrites",
        "20, lost", "21, lonelead", "22, lone", "23, freeze", "24, taken", "25, hang", "26, mute", "27, deafspell", "28, deaf",
        "29, zone", "30, copies+fornext", "31, blink", "32, cancels", "33, behind", "34, silent+tenleaders", "35, latewrites+handover",
        "36, outage+kill+taken", "37, lost+silent+latewrites+kill", "38, sick", "39, cut+taken+cancels", "40, slow+handover+cancelhang",
    )
    fun `no step exceeds a budget whatever else goes wrong, and the drains end`(seed: Int, faults: String) {
        val day = DrainDay(DayPlan(seed, faults))
        twoDrains(day)
        day.run(LONG_END_S)
        assertDone(day, "d-1", "d-2")
    }

    @ParameterizedTest
    @ValueSource(ints = [51, 52, 53])
    fun `a leader that dies between charge and halt leaves the step to the next one`(seed: Int) {
        val day = DrainDay(DayPlan(seed))
        twoDrains(day)
        var kills = 0
        day.records.onStep = { if (kills++ % 5 == 0) day.cluster.kill(day.cluster.leader, 4.0) }
        day.run(LONG_END_S)
        assertDone(day, "d-1", "d-2")
        assertEquals(emptyList<String>(), day.workers.violations.take(5))
        assertTrue(kills > 5, "$kills")
    }

    @ParameterizedTest
    @ValueSource(ints = [54, 55, 56])
    fun `a leader that dies between halt and proof frees nothing that does not run again`(seed: Int) {
        val day = DrainDay(DayPlan(seed))
        twoDrains(day)
        var halts = 0
        day.workers.onHalt = { if (halts++ % 9 == 0) day.cluster.kill(day.cluster.leader, 0.5) }
        day.run(LONG_END_S)
        assertDone(day, "d-1", "d-2")
        assertTrue(halts > 9, "$halts")
    }

    @ParameterizedTest
    @ValueSource(ints = [57, 58])
    fun `an outage that begins with a step costs no budget`(seed: Int) {
        val day = DrainDay(DayPlan(seed))
        twoDrains(day)
        var steps = 0
        day.records.onStep = {
            if (++steps == 3) {
                day.cluster.store.outage = true
                day.at(9.0) { day.cluster.store.outage = false }
            }
        }
        day.run(LONG_END_S)
        assertDone(day, "d-1", "d-2")
    }

    private fun job(
        id: String,
        jobKind: JobKind = JobKind.ARRAY,
        tasks: Int = 2,
        jobClass: String = "train",
        team: String = "red",
        saves: Double = 5.0,
        expectedRuntimeS: Double = 150.0,
        taskResources: Resources = Resources(4.0, 1.0, 16.0),
    ): JobSpec = Samples.spec(
        id, jobKind, tasks, Priority.STANDARD, team, taskResources, preemptible = false, checkpointIntervalS = saves, jobClass = jobClass,
    ).copy(expectedRuntimeS = expectedRuntimeS, checkpointDurationS = 1.0, imageGb = 1.0)

    @Test
    fun `tasks whose class forbids a repeat are left to end, and new work keeps off their machines`() {
        val jobs = listOf(
            job("job-1", jobClass = "deed", expectedRuntimeS = 120.0),
            // A class that may be repeated from a checkpoint, and a job of it that never saves.
            job("job-2", jobClass = "train", saves = 0.0, expectedRuntimeS = 130.0),
            job("job-3", expectedRuntimeS = 160.0),
            job("job-4", jobClass = "batch", saves = 0.0, expectedRuntimeS = 160.0),
        )
        val day = DrainDay(DayPlan(61, jobs = jobs))
        day.at(30.0) { day.order(DrainOrder.Start("d-1", Selector(emptySet(), "big", null, null, null))) }
        day.run(100.0)
        val waits = DrainPlanner(day.snapshot()).plan().waits.getValue("d-1").values
        assertTrue(waits.any { it is WaitReason.RestartForbidden && it.job == "job-1" && it.policy == RepeatPolicy.NEVER }, "$waits")
        day.run(END_S)
        assertEquals("done", day.phase("d-1"))
        assertEquals(emptySet<String>(), day.workers.halts.keys.intersect(setOf("job-1", "job-2")), "${day.workers.halts}")
        assertEquals(emptyList<String>(), day.violations() + day.workers.violations + day.unfinished())
    }

    @Test
    fun `a gang larger than its team's budget is never stopped, and others go on`() {
        val jobs = listOf(
            // Three members of 3 accelerators: more than red's whole budget of 3.
            job("job-1", JobKind.GANG, 3, taskResources = Resources(12.0, 3.0, 40.0), expectedRuntimeS = 140.0),
            job("job-2", team = "blue", tasks = 8, expectedRuntimeS = 200.0),
        )
        val day = DrainDay(DayPlan(62, jobs = jobs))
        day.at(30.0) { day.order(DrainOrder.Start("d-1", Selector(emptySet(), "big", null, null, null))) }
        day.run(110.0)
        val waits = DrainPlanner(day.snapshot()).plan().waits.getValue("d-1").values
        assertTrue(waits.any { it is WaitReason.LargerThanBudget && it.job == "job-1" }, "$waits")
        assertTrue((day.workers.halts["job-2"] ?: 0) > 0, "${day.workers.halts}")
        day.run(END_S)
        assertEquals("done", day.phase("d-1"))
        assertNull(day.workers.halts["job-1"])
        assertEquals(emptyList<String>(), day.violations() + day.workers.violations + day.unfinished())
    }

    @Test
    fun `gangs are stopped whole and lose nothing that they saved`() {
        val jobs = (1..4).map { job("job-$it", JobKind.GANG, 2, team = DrainDay.TEAMS[it % 3], expectedRuntimeS = 150.0) }
        val day = DrainDay(DayPlan(63, jobs = jobs))
        day.at(30.0) { day.order(DrainOrder.Start("d-1", Selector(emptySet(), "big", null, null, null))) }
        day.run(END_S)
        assertEquals("done", day.phase("d-1"))
        for (j in jobs) assertEquals(0, (day.workers.halts[j.id] ?: 0) % 2, "${day.workers.halts}")
        assertTrue(day.workers.halts.values.sum() >= 4, "${day.workers.halts}")
        assertEquals(emptyList<String>(), day.violations() + day.workers.violations + day.unfinished())
    }

    @Test
    fun `no step starts while losses have spent the budget`() {
        val day = DrainDay(DayPlan(64))
        // Half of the machines die at once, then the drain is ordered.
        day.at(38.0) { for (w in day.cluster.cloud.workers.values.filterIndexed { i, _ -> i % 2 == 0 }) w.terminate() }
        day.at(45.0) { day.order(DrainOrder.Start("d-1", zoneA)) }
        var lost = 0
        day.records.onStep = { lost++ }
        day.run(LONG_END_S)
        assertDone(day, "d-1")
        assertTrue(lost > 0)
    }

    @Test
    fun `a spot notice in mid-drain is settled once and counts against the budget`() {
        val day = DrainDay(DayPlan(65))
        twoDrains(day)
        day.records.onStep = {
            val drained = day.snapshot().machines.values.filter { it.cordon != null }.minByOrNull { it.name }
            drained?.let { day.cluster.cloud.workers[it.name] }?.let { w ->
                w.terminationNoticeS = 20.0
                day.at(20.0) { w.terminate() }
            }
            day.records.onStep = {}
        }
        day.run(LONG_END_S)
        assertDone(day, "d-1", "d-2")
    }

    @Test
    fun `a cancelled drain gives its machines back, and a repeat of it drains them`() {
        val day = DrainDay(DayPlan(66))
        day.at(40.0) { day.order(DrainOrder.Start("d-1", zoneA), 0) }
        day.at(50.0) { day.order(DrainOrder.Cancel("d-1"), 1) }
        day.at(51.0) { day.order(DrainOrder.Cancel("d-1"), 2) }
        day.run(62.0)
        assertEquals("cancelled", day.phase("d-1"))
        val held = day.snapshot().machines.values.filter { it.cordon != null && it.isSchedulable }
        assertEquals(emptyList<Any>(), held)
        day.at(1.0) { day.order(DrainOrder.Start("d-2", zoneA), 0) }
        day.run(END_S)
        assertDone(day, "d-2")
        assertEquals(emptyList<String>(), day.workers.violations.take(5))
    }

    @Test
    fun `a paused drain takes no step until it is resumed`() {
        val day = DrainDay(DayPlan(67))
        day.at(40.0) { day.order(DrainOrder.Start("d-1", zoneA), 0) }
        day.at(46.0) { day.order(DrainOrder.Pause("d-1"), 1) }
        day.run(49.0)
        val steps = day.records.steps.size
        val cordoned = day.snapshot().machines.values.count { it.cordon == "d-1" }
        day.run(75.0)
        assertEquals(steps, day.records.steps.size)
        assertTrue(cordoned > 0 && day.phase("d-1") == "paused")
        day.order(DrainOrder.Resume("d-1"), 2)
        day.run(END_S)
        assertDone(day, "d-1")
    }

    @Test
    fun `while files differ the strictest budget applies, and without one nothing is stopped`() {
        val loose = mapOf("red" to Amount(40.0, 10.0), "blue" to Amount(40.0, 10.0), "green" to Amount(40.0, 10.0))
        // The checkers know the strict file only, which one controller of three has.
        val day = DrainDay(DayPlan(68, configOf = { i -> DrainDay.config(if (i == 1) DayPlan.BUDGETS else loose) }))
        twoDrains(day)
        day.run(END_S)
        assertDone(day, "d-1", "d-2")
        assertEquals(emptyList<String>(), day.workers.violations.take(5))

        val mixed = DrainDay(DayPlan(69, configOf = { i -> if (i == 2) null else DrainDay.config() }))
        mixed.at(40.0) { mixed.order(DrainOrder.Start("d-1", zoneA), 0) }
        mixed.run(90.0)
        val waits = DrainPlanner(mixed.snapshot()).plan().waits.getValue("d-1").values
        assertEquals(listOf<WaitReason>(WaitReason.WithoutConfig(listOf("n-2"))), waits.distinct())
        assertEquals(emptyMap<String, Int>(), mixed.workers.halts)
        assertEquals(emptyList<String>(), mixed.violations())
    }

    @Test
    fun `a repeated order is answered as the first, also by another node and after all have been restarted`() {
        val day = DrainDay(DayPlan(70))
        day.at(40.0) { day.order(DrainOrder.Start("d-1", half), 0) }
        day.at(46.0) { for (i in 0..2) day.cluster.kill(i, 2.0) }
        day.at(60.0) { day.order(DrainOrder.Start("d-1", half), 2) }
        day.at(61.0) { day.order(DrainOrder.Start("d-1", zoneA), 1) }
        day.run(LONG_END_S)
        assertDone(day, "d-1")
        val ends = day.answers.filter { it !is OrderResult.Refused || it.fault == OrderFault.CONFLICT }
        assertEquals(listOf("recorded", "recorded", "refused"), ends.map { if (it is OrderResult.Recorded) "recorded" else "refused" })
    }

    private companion object {
        const val END_S = 420.0
        const val LONG_END_S = 600.0
        const val MIN_HALTS = 8
    }
}
