package flaxfield.sim

import flaxfield.Samples
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority
import flaxfield.jobs.Resources
import flaxfield.jobs.JobKind
import flaxfield.settings.StateLimits
import flaxfield.store.StoreKeys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Three controllers against stand-ins, with troubles by seed; every rule is checked all the time. */
class SimulationTest {
    private fun jobs(c: SimCluster): List<SimUser> = (1..14).map { n ->
        val r = c.loop.random
        val gang = n % 3 == 0
        val spec = Samples.spec(
            id = "job-$n", jobKind = if (gang) JobKind.GANG else JobKind.ARRAY,
            jobClass = if (gang) "train" else "score",
            taskCount = if (gang) 1 + r.nextInt(3) else 1 + r.nextInt(120).coerceAtMost(8) * (if (n == 7) 12 else 1),
            priority = if (gang) Priority.HIGH else Priority.IDLE, team = if (n % 2 == 0) "red" else "blue", preemptible = !gang,
            taskResources = if (gang) Resources(12.0, 3.0, 40.0) else Resources(4.0, 1.0, 16.0), sameZone = n % 6 == 0, spreadAcrossZones = n % 5 == 0 && !gang,
            checkpointIntervalS = if (n % 4 == 0) 0.0 else 5.0,
        ).copy(expectedRuntimeS = 4.0 + r.nextInt(8), checkpointDurationS = 1.0)
        SimUser(c, c.job(spec), cancelsAfterS = if (n % 7 == 2) 8.0 else null)
    }

    @ParameterizedTest
    @CsvSource(
        "1, quiet", "2, kill", "3, kill+lost", "4, all+outage", "5, outage+kill", "6, cut", "7, cut+lost+kill", "8, hang",
        "9, hang+taken+kill", "10, taken+sick", "11, all+lost+hang", "12, outage+cut+kill+lost+hang+taken+sick",
        "13, deaf", "14, copies+taken+kill", "15, lone", "16, blink", "17, deaf+copies+blink", "18, lone+copies+lost",
        "19, blink+lost+copies+deaf+lone+taken", "20, zone", "21, zone+kill+copies", "22, freeze", "23, freeze+lost+taken+copies",
        "24, refuse+cut", "25, zone+freeze+refuse+blink", "26, freeze+lone+all+outage", "27, refuse+freeze+hang+kill",
        "33, mistakes", "34, mistakes+sick+kill", "35, boots", "36, boots+freeze+all", "37, storm+cut", "38, storm+mistakes+freeze+lost",
    )
    fun `every rule holds and every job ends`(seed: Int, kind: String) {
        val c = SimCluster(seed)
        // One after another: the assignment changes while the first leader does its first things.
        for (i in 0..2) c.loop.after(i * (100 + seed * 15L) * SimLoop.MS) { c.boot(i) }
        val users = jobs(c)
        for ((n, u) in users.withIndex()) c.loop.after((2 + 5L * n) * SimLoop.SECOND, u::submit)
        FaultInjector(c, users).inject(kind)
        c.watch(FAULTS_END_S)
        c.loop.runUntil(END_S)
        c.invariants.checkServed()
        // The types' write met a new assignment and was not tried again for a minute: nobody could submit.
        assertTrue(c.invariants.firstAcceptedS < SERVES_S, "first job accepted at ${c.invariants.firstAcceptedS} s")
        assertEquals(emptyList<String>(), c.invariants.violations)
        assertEquals(emptyList<String>(), c.store.violations)
        val unfinished = users.filter { c.invariants.reportedPhase(it.spec.id) !in InvariantChecker.FINAL_PHASES }
        assertEquals(emptyList<String>(), unfinished.map { it.spec.id + " " + c.invariants.reportedPhase(it.spec.id) })
        assertTrue(c.invariants.starts >= users.size / 2, "${c.invariants.starts} starts")
        // 40 tasks once at full width, then a few at a time with growing waits, and the others some times each.
        assertTrue(c.invariants.failingStarts < MAX_MISTAKEN, "${c.invariants.failingStarts} starts of jobs that fail everywhere")
    }

    @Test
    fun `no lease runs out while one controller does not reach its workers`() {
        // Workers were sent back to the owner that did not answer them, and had lost their lease before anyone relayed.
        // For five leases, whichever controller it is, and whether connections hang or are reset.
        for (case in 0..5) {
            val k = case % 3
            val c = SimCluster(50 + k)
            c.network.cutsReset = case >= 3
            for (i in 0..2) c.boot(i)
            val users = jobs(c)
            for ((n, u) in users.withIndex()) c.loop.after((2 + 3L * n) * SimLoop.SECOND, u::submit)
            c.loop.after(30 * SimLoop.SECOND) { c.network.workerConnectionsCut[k] = true }
            c.loop.after(60 * SimLoop.SECOND) { c.network.workerConnectionsCut[k] = false }
            c.watch(FAULTS_END_S)
            c.loop.runUntil(END_S)
            assertEquals(emptyList<String>(), c.invariants.violations)
            assertEquals(0, c.invariants.leasesLost, "controller $k, reset=${c.network.cutsReset}")
            assertTrue(users.all { c.invariants.reportedPhase(it.spec.id) in InvariantChecker.FINAL_PHASES })
        }
    }

    /**
     * Many machines: no value, transaction or rate may outgrow its limit, and the largest jobs begin in time.
     * A controller dies, a fifth of the machines is lost at once, then all controllers are restarted.
     */
    @ParameterizedTest
    @CsvSource("31, 60, 60, 30, 8, 150", "32, 400, 260, 70, 32, 1200")
    fun `limits hold and the largest jobs begin at many machines`(
        seed: Int,
        machinesPerZone: Int,
        count: Int,
        writeRps: Double,
        valueKb: Double,
        rentedLeast: Int,
    ) {
        val c = SimCluster(seed, machinesPerZone, limits = StateLimits(writeRps * 5, writeRps, valueKb, 24))
        for (i in 0..2) c.boot(i)
        val users = (1..count).map { n ->
            val gang = n % 2 == 0
            val spec = Samples.spec(
                id = "job-$n", jobKind = if (gang) JobKind.GANG else JobKind.ARRAY, jobClass = if (gang) "train" else "score",
                taskCount = if (gang) {
                    1 shl n / 2 % 4
                } else if (n % 15 == 1) {
                    200
                } else {
                    20 + n % 60
                },
                team = if (n % 4 < 2) "red" else "blue",
                priority = if (gang) Priority.HIGH else Priority.IDLE, preemptible = !gang, sameZone = gang,
                taskResources = if (gang) Resources(14.0, 4.0, 50.0) else Resources(4.0, 1.0, 16.0),
            ).copy(expectedRuntimeS = 15.0 + n % 20)
            SimUser(c, c.job(spec), cancelsAfterS = if (n % 13 == 0) 8.0 else null)
        }
        val perS = maxOf(2, count / 30)
        for ((n, u) in users.withIndex()) c.loop.after((2 + n / perS) * SimLoop.SECOND, u::submit)
        c.loop.after(60 * SimLoop.SECOND) { c.kill(0, 1.0) }
        c.loop.after(75 * SimLoop.SECOND) { for (w in c.cloud.workers.values.filterIndexed { i, _ -> i % 5 == 0 }) w.terminate() }
        if (machinesPerZone > 100) c.loop.after(100 * SimLoop.SECOND) { for (i in 0..2) c.kill(i, 2.0) }
        c.watch(FAULTS_END_S)
        c.loop.runUntil(LARGE_END_S)
        c.invariants.checkServed()
        assertEquals(emptyList<String>(), c.invariants.violations)
        assertEquals(emptyList<String>(), c.store.violations)
        // A placement on its way takes room already: without that the next job was sent to the same place.
        assertTrue(c.invariants.refusedStarts * 50 <= c.invariants.starts, "${c.invariants.refusedStarts} of ${c.invariants.starts} starts refused")
        // Rentals of more machines than one write takes: a hire written in part stood as machines still to come.
        assertEquals(emptySet<String>(), c.store.under(StoreKeys.RENTAL))
        assertTrue(c.cloud.machinesRented > rentedLeast, "${c.cloud.machinesRented} machines rented")
        // A list of 4,000 machines has eight pages: asked for at once, they and all else were refused for their rate.
        assertTrue(c.cloud.refused * 50 <= c.cloud.served, "${c.cloud.refused} of ${c.cloud.served} requests refused by the cloud")
        assertTrue(c.store.refused * 50 < c.store.served, "${c.store.refused} of ${c.store.served} refused for their rate")
        val unfinished = users.filter { c.invariants.reportedPhase(it.spec.id) !in InvariantChecker.FINAL_PHASES }
        assertEquals(emptyList<String>(), unfinished.map { it.spec.id + " " + c.invariants.reportedPhase(it.spec.id) })
    }

    @Test
    fun `a huge array of short tasks and a swarm of small jobs cost nobody else his turn`() {
        val c = SimCluster(41, machinesPerZone = 40, limits = StateLimits(150.0, 30.0, 16.0, 24))
        for (i in 0..2) c.boot(i)
        fun user(spec: JobSpec) = SimUser(c, c.job(spec))
        val small = Resources(0.25, 0.0, 0.9)
        val huge = user(Samples.spec(id = "job-1", taskCount = 5_000, team = "blue", taskResources = small, jobClass = "huge").copy(expectedRuntimeS = 1.0))
        val swarm = (0 until 150).map {
            user(Samples.spec(id = "job-2$it", taskCount = 1, team = "blue", taskResources = small, jobClass = "swarm").copy(expectedRuntimeS = 20.0))
        }
        val gangs = (0 until 8).map {
            val taskResources = Resources(14.0, 4.0, 50.0)
            user(
                Samples.spec(
                    "job-3$it",
                    JobKind.GANG,
                    2,
                    Priority.HIGH,
                    taskResources = taskResources,
                    preemptible = false,
                    jobClass = "train",
                ).copy(expectedRuntimeS = 10.0),
            )
        }
        c.loop.after(5 * SimLoop.SECOND, huge::submit)
        for ((n, u) in swarm.withIndex()) c.loop.after((10_000L + n * 130) * SimLoop.MS, u::submit)
        for ((n, u) in gangs.withIndex()) c.loop.after((12 + 3L * n) * SimLoop.SECOND, u::submit)
        c.loop.after(20 * SimLoop.SECOND) { c.kill(0, 1.0) }
        c.watch(FAULTS_END_S)
        c.loop.runUntil(HUGE_END_S)
        c.invariants.checkServed()
        assertEquals(emptyList<String>(), c.invariants.violations)
        assertEquals(emptyList<String>(), c.store.violations)
        val unfinished = (swarm + gangs + huge).filter { c.invariants.reportedPhase(it.spec.id) != "done" }
        assertEquals(emptyList<String>(), unfinished.map { it.spec.id + " " + c.invariants.reportedPhase(it.spec.id) })
        assertTrue(c.invariants.refusedStarts * 50 <= c.invariants.starts, "${c.invariants.refusedStarts} of ${c.invariants.starts} starts refused")
        // 5,000 tasks at once would have rented 80 machines; four hold what is worth having at a time.
        assertTrue(c.cloud.machinesRented < 50, "${c.cloud.machinesRented} machines rented")
    }

    private companion object {
        const val END_S = 400.0

        /** Processes are up, and no trouble has begun. */
        const val SERVES_S = 12.0
        const val LARGE_END_S = 420.0
        const val MAX_MISTAKEN = 110
        const val HUGE_END_S = 200.0

        /** The last trouble ends before this. */
        const val FAULTS_END_S = 125.0
    }
}
