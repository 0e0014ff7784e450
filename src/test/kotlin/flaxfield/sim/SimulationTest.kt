package flaxfield.sim

import flaxfield.Samples
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority
import flaxfield.jobs.Resources
import flaxfield.settings.StateLimits
import flaxfield.store.StoreKeys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Runs three controllers in a simulated cluster with seeded faults, and checks the invariants throughout. */
class SimulationTest {
    private fun jobs(cluster: SimCluster): List<SimUser> = (1..14).map { n ->
        val random = cluster.loop.random
        val gang = n % 3 == 0
        val spec = Samples.spec(
            id = "job-$n", jobKind = if (gang) JobKind.GANG else JobKind.ARRAY,
            jobClass = if (gang) "train" else "score",
            taskCount = 1 + if (gang) {
                random.nextInt(3)
            } else {
                random.nextInt(120).coerceAtMost(8) * (if (n == 7) 12 else 1)
            },
            priority = if (gang) Priority.HIGH else Priority.IDLE,
            team = if (n % 2 == 0) "red" else "blue",
            preemptible = !gang,
            taskResources = if (gang) Resources(12.0, 3.0, 40.0) else Resources(4.0, 1.0, 16.0),
            sameZone = n % 6 == 0,
            spreadAcrossZones = n % 5 == 0 && !gang,
            checkpointIntervalS = if (n % 4 == 0) 0.0 else 5.0,
        ).copy(expectedRuntimeS = 4.0 + random.nextInt(8), checkpointDurationS = 1.0)
        SimUser(cluster, cluster.job(spec), cancelsAfterS = if (n % 7 == 2) 8.0 else null)
    }

    @ParameterizedTest
    @CsvSource(
        "1, no-faults", "2, controller-crashes", "3, controller-crashes+lost-store-responses",
        "4, full-controller-restart+store-outage", "5, store-outage+controller-crashes", "6, link-partitions",
        "7, link-partitions+lost-store-responses+controller-crashes",
        "8, worker-hangs",
        "9, worker-hangs+machine-losses+controller-crashes", "10, machine-losses+failing-machine",
        "11, full-controller-restart+lost-store-responses+worker-hangs",
        "12, store-outage+link-partitions+controller-crashes+lost-store-responses+worker-hangs+machine-losses+failing-machine",
        "13, inbound-partition", "14, delayed-duplicates+machine-losses+controller-crashes", "15, controller-isolation",
        "16, restart-storm", "17, inbound-partition+delayed-duplicates+restart-storm",
        "18, controller-isolation+delayed-duplicates+lost-store-responses",
        "19, restart-storm+lost-store-responses+delayed-duplicates+inbound-partition+controller-isolation+machine-losses",
        "20, zone-partition", "21, zone-partition+controller-crashes+delayed-duplicates", "22, controller-pauses",
        "23, controller-pauses+lost-store-responses+machine-losses+delayed-duplicates",
        "24, peer-partition+link-partitions", "25, zone-partition+controller-pauses+peer-partition+restart-storm",
        "26, controller-pauses+controller-isolation+full-controller-restart+store-outage",
        "27, peer-partition+controller-pauses+worker-hangs+controller-crashes",
        "33, failing-jobs", "34, failing-jobs+failing-machine+controller-crashes", "35, boot-faults",
        "36, boot-faults+controller-pauses+full-controller-restart",
        "37, read-storm+link-partitions",
        "38, read-storm+failing-jobs+controller-pauses+lost-store-responses",
        // These failed while a gang was bound to the zone of its idle machines (review case 2).
        "1051, exhausted-zone+machine-losses",
        "1070, brief-machine-failures+exhausted-zone+machine-losses",
        "1103, brief-machine-failures+exhausted-zone+machine-losses",
    )
    fun `invariants hold and every job finishes under faults`(seed: Int, faults: String) {
        val cluster = SimCluster(seed)
        // The controllers boot one by one, so that the shard assignment changes while the first leader starts up.
        for (i in 0..2) cluster.loop.after(i * (100 + seed * 15L) * SimLoop.MS) { cluster.boot(i) }
        val users = jobs(cluster)
        for ((n, user) in users.withIndex()) cluster.loop.after((2 + 5L * n) * SimLoop.SECOND, user::submit)
        FaultInjector(cluster, users).inject(faults)
        cluster.checkInvariantsPeriodically(FAULTS_END_S)
        cluster.loop.runUntil(END_S)
        cluster.invariants.checkFairness()
        // Submissions need the machine types, whose write must be retried soon after a conflict with a new assignment.
        assertTrue(
            cluster.invariants.firstAcceptedS < FIRST_ACCEPTED_BEFORE_S,
            "first job accepted at ${cluster.invariants.firstAcceptedS} s",
        )
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        assertEquals(emptyList<String>(), cluster.store.violations)
        val unfinished = users.filter { cluster.invariants.reportedPhase(it.spec.id) !in InvariantChecker.FINAL_PHASES }
        assertEquals(
            emptyList<String>(),
            unfinished.map { it.spec.id + " " + cluster.invariants.reportedPhase(it.spec.id) },
        )
        assertTrue(cluster.invariants.starts >= users.size / 2, "${cluster.invariants.starts} starts")
        // The 40 tasks of the largest failing job start once in full, then a few at a time with growing backoff. The
        // other failing jobs start a few times each.
        assertTrue(
            cluster.invariants.failingJobStarts < MAX_FAILING_JOB_STARTS,
            "${cluster.invariants.failingJobStarts} task starts of failing jobs",
        )
    }

    @Test
    fun `no lease expires while one controller cannot reach its workers`() {
        // Workers whose owner does not respond must move to another controller before their lease expires. The
        // partition lasts five leases and hits each controller, with connections that hang or are reset.
        for (case in 0..5) {
            val controller = case % 3
            val cluster = SimCluster(50 + controller)
            cluster.network.resetsCutConnections = case >= 3
            for (i in 0..2) cluster.boot(i)
            val users = jobs(cluster)
            for ((n, user) in users.withIndex()) cluster.loop.after((2 + 3L * n) * SimLoop.SECOND, user::submit)
            cluster.loop.after(30 * SimLoop.SECOND) { cluster.network.workerConnectionsCut[controller] = true }
            cluster.loop.after(60 * SimLoop.SECOND) { cluster.network.workerConnectionsCut[controller] = false }
            cluster.checkInvariantsPeriodically(FAULTS_END_S)
            cluster.loop.runUntil(END_S)
            assertEquals(emptyList<String>(), cluster.invariants.violations)
            assertEquals(0, cluster.invariants.leasesExpired, "controller $controller, reset=${cluster.network.resetsCutConnections}")
            assertTrue(users.all { cluster.invariants.reportedPhase(it.spec.id) in InvariantChecker.FINAL_PHASES })
        }
    }

    /**
     * Runs many machines: values, transactions and rates must stay within their limits, and the largest jobs must start
     * in time. A controller crashes and then a fifth of the machines is lost at once. At over 100 machines per zone,
     * all controllers restart as well.
     */
    @ParameterizedTest
    @CsvSource("31, 60, 60, 30, 8, 150", "32, 400, 260, 70, 32, 1200")
    fun `a large fleet stays within the limits and starts the largest jobs in time`(
        seed: Int,
        machinesPerZone: Int,
        count: Int,
        writeRps: Double,
        valueKb: Double,
        minMachinesRented: Int,
    ) {
        val cluster = SimCluster(seed, machinesPerZone, limits = StateLimits(writeRps * 5, writeRps, valueKb, 24))
        for (i in 0..2) cluster.boot(i)
        val users = (1..count).map { n ->
            val gang = n % 2 == 0
            val spec = Samples.spec(
                id = "job-$n",
                jobKind = if (gang) JobKind.GANG else JobKind.ARRAY,
                jobClass = if (gang) "train" else "score",
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
            SimUser(cluster, cluster.job(spec), cancelsAfterS = if (n % 13 == 0) 8.0 else null)
        }
        val jobsPerS = maxOf(2, count / 30)
        for ((n, user) in users.withIndex()) cluster.loop.after((2 + n / jobsPerS) * SimLoop.SECOND, user::submit)
        cluster.loop.after(60 * SimLoop.SECOND) { cluster.kill(0, 1.0) }
        cluster.loop.after(75 * SimLoop.SECOND) {
            for (worker in cluster.cloud.workers.values.filterIndexed { i, _ -> i % 5 == 0 }) worker.terminate()
        }
        if (machinesPerZone > 100) cluster.loop.after(100 * SimLoop.SECOND) { for (i in 0..2) cluster.kill(i, 2.0) }
        cluster.checkInvariantsPeriodically(FAULTS_END_S)
        cluster.loop.runUntil(LARGE_END_S)
        cluster.invariants.checkFairness()
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        assertEquals(emptyList<String>(), cluster.store.violations)
        // In-flight placements count against their machines, so few launches are rejected for lack of resources.
        assertTrue(
            cluster.invariants.rejectedStarts * 50 <= cluster.invariants.starts,
            "${cluster.invariants.rejectedStarts} of ${cluster.invariants.starts} starts rejected",
        )
        // Every rental is closed, even if its machines take more than one write.
        assertEquals(emptySet<String>(), cluster.store.keysWithPrefix(StoreKeys.RENTAL))
        assertTrue(cluster.cloud.machinesRented > minMachinesRented, "${cluster.cloud.machinesRented} machines rented")
        // A list of 4,000 machines has eight pages, whose requests must keep to the rate limit.
        assertTrue(
            cluster.cloud.rejectedCount * 50 <= cluster.cloud.requestCount,
            "${cluster.cloud.rejectedCount} of ${cluster.cloud.requestCount} requests rejected by the cloud",
        )
        assertTrue(
            cluster.store.rejectedCount * 50 < cluster.store.requestCount,
            "${cluster.store.rejectedCount} of ${cluster.store.requestCount} requests rejected by the state service",
        )
        val unfinished = users.filter { cluster.invariants.reportedPhase(it.spec.id) !in InvariantChecker.FINAL_PHASES }
        assertEquals(
            emptyList<String>(),
            unfinished.map { it.spec.id + " " + cluster.invariants.reportedPhase(it.spec.id) },
        )
    }

    @Test
    fun `a huge array of short tasks and a burst of small jobs do not starve other jobs`() {
        val cluster = SimCluster(41, machinesPerZone = 40, limits = StateLimits(150.0, 30.0, 16.0, 24))
        for (i in 0..2) cluster.boot(i)
        fun user(spec: JobSpec) = SimUser(cluster, cluster.job(spec))
        val small = Resources(0.25, 0.0, 0.9)
        val huge = user(
            Samples.spec(id = "job-1", taskCount = 5_000, team = "blue", taskResources = small, jobClass = "huge")
                .copy(expectedRuntimeS = 1.0),
        )
        val smallJobs = (0 until 150).map {
            user(
                Samples.spec(id = "job-2$it", taskCount = 1, team = "blue", taskResources = small, jobClass = "swarm")
                    .copy(expectedRuntimeS = 20.0),
            )
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
        cluster.loop.after(5 * SimLoop.SECOND, huge::submit)
        for ((n, user) in smallJobs.withIndex()) cluster.loop.after((10_000L + n * 130) * SimLoop.MS, user::submit)
        for ((n, user) in gangs.withIndex()) cluster.loop.after((12 + 3L * n) * SimLoop.SECOND, user::submit)
        cluster.loop.after(20 * SimLoop.SECOND) { cluster.kill(0, 1.0) }
        cluster.checkInvariantsPeriodically(FAULTS_END_S)
        cluster.loop.runUntil(HUGE_END_S)
        cluster.invariants.checkFairness()
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        assertEquals(emptyList<String>(), cluster.store.violations)
        val unfinished = (smallJobs + gangs + huge).filter { cluster.invariants.reportedPhase(it.spec.id) != "done" }
        assertEquals(
            emptyList<String>(),
            unfinished.map { it.spec.id + " " + cluster.invariants.reportedPhase(it.spec.id) },
        )
        assertTrue(
            cluster.invariants.rejectedStarts * 50 <= cluster.invariants.starts,
            "${cluster.invariants.rejectedStarts} of ${cluster.invariants.starts} starts rejected",
        )
        // 5,000 tasks at once would need 80 machines. Short tasks finish just as early on fewer machines.
        assertTrue(cluster.cloud.machinesRented < 50, "${cluster.cloud.machinesRented} machines rented")
    }

    private companion object {
        const val END_S = 400.0

        /** The time by which the first job must be accepted: the controllers are up, and no fault has started. */
        const val FIRST_ACCEPTED_BEFORE_S = 12.0
        const val LARGE_END_S = 420.0
        const val MAX_FAILING_JOB_STARTS = 110
        const val HUGE_END_S = 200.0

        /** The time by which all faults have ended. */
        const val FAULTS_END_S = 125.0
    }
}
