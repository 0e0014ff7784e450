package flaxfield.sim

import flaxfield.Samples
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random

/** Runs the fault combinations that operators requested, with short and long jobs of all kinds. */
class CombinedFaultsTest {
    /**
     * Creates arrays and gangs of two teams, of which one is mostly at its GPU limit. Some jobs are bound to a zone.
     */
    private fun jobs(cluster: SimCluster): List<SimUser> = (1..26).map { n ->
        val spec = if (n % 3 == 0) gang(n, cluster.loop.random) else array(n, cluster.loop.random)
        SimUser(cluster, cluster.job(spec))
    }

    private fun gang(n: Int, random: Random): JobSpec = Samples.spec(
        id = "job-$n",
        jobKind = JobKind.GANG,
        jobClass = "train",
        taskCount = 1 + n / 3 % 3,
        priority = Priority.HIGH,
        preemptible = false,
        taskResources = Resources(12.0, 3.0, 40.0),
        sameZone = n % 6 == 0,
        zone = zone(n),
        checkpointIntervalS = checkpointIntervalS(n),
    ).copy(expectedRuntimeS = runtimeS(n, random), checkpointDurationS = 1.0)

    private fun array(n: Int, random: Random): JobSpec = Samples.spec(
        id = "job-$n",
        jobClass = "score",
        taskCount = 1 + random.nextInt(if (n % 2 == 0) 4 else 6),
        team = if (n % 3 == 1) "blue" else "red",
        zone = zone(n),
        checkpointIntervalS = checkpointIntervalS(n),
    ).copy(expectedRuntimeS = runtimeS(n, random), checkpointDurationS = 1.0)

    private fun zone(n: Int): String? = if (n % 8 == 1) "a" else null

    private fun checkpointIntervalS(n: Int): Double = if (n % 4 == 0) 0.0 else 5.0

    /** Returns a run time that is longer than `cancel_s` for every other job. */
    private fun runtimeS(n: Int, random: Random): Double = if (n % 2 == 0) 40.0 + random.nextInt(20) else 6.0 + random.nextInt(12)

    /**
     * The state service first rejects only the leader, while the other controllers confirm cancellations. Then it is
     * unavailable to all for longer than `cancel_s`, while workers still send heartbeats to the old leader. In most
     * rows, `cancel_s` is only slightly longer than two leases.
     */
    @ParameterizedTest
    @CsvSource(
        "202, cancellation-before-outage, 20", "204, cancellation-before-outage, 20",
        "202, cancellation-before-outage, 12.5", "204, cancellation-before-outage, 12.5",
        "210, cancellation-before-outage, 12.5", "213, cancellation-before-outage, 12.5",
        "214, cancellation-before-outage, 12.5",
        "214, cancellation-before-outage+slow-store, 12.5", "102, cancellation-before-outage+read-after-write, 12.5",
        "103, cancellation-before-outage+duplicates-at-failover+lost-transaction-responses, 12.5",
        "105, cancellation-before-outage+controller-crashes, 12.5",
        "104, cancellation-before-outage+slow-store+repeated-cancellations, 20",
    )
    fun `tasks of a job that another controller cancelled stop in time during a store outage`(seed: Int, faults: String, cancelS: Double) =
        run(faults, SimCluster(seed, machinesPerZone = 4, cancelS = cancelS))

    @ParameterizedTest
    @CsvSource(
        // Cases 2 to 7 of the operators' list, with one or more rows each. Case 1 is the test above.
        "106, read-after-write+repeated-cancellations",
        "107, read-after-write+lost-transaction-responses+leader-failovers+cancellation-at-completion",
        "108, lost-transaction-responses+leader-failovers",
        "109, lost-transaction-responses+ten-leader-failovers+repeated-cancellations",
        "110, cancellation-during-worker-hangs+leader-failovers",
        "111, cancellation-during-worker-partition+ten-leader-failovers",
        "112, cancellation-during-worker-hangs+cancellation-during-worker-partition+controller-pauses",
        "113, repeated-cancellations+leader-failovers+read-after-write",
        "114, repeated-cancellations+controller-isolation",
        "115, failovers-during-boot+delayed-transactions",
        "116, failovers-during-boot+lost-transaction-responses+slow-store",
        "117, duplicates-at-failover+leader-failovers",
        "118, duplicates-at-failover+delayed-duplicates+ten-leader-failovers+machine-losses",
        "119, small-job-burst", "120, small-job-burst+leader-failovers+read-after-write",
        // The remaining cases of the operators' list.
        "121, transient-outbound-partition+repeated-cancellations",
        "122, transient-outbound-partition+leader-failovers",
        "123, transient-inbound-partition+leader-failovers+delayed-duplicates",
        "124, delayed-transactions+repeated-cancellations+leader-failovers",
        "125, delayed-transactions+restart-storm", "126, ten-leader-failovers+long-store-outage",
        "127, long-controller-outage", "128, long-controller-outage+duplicates-at-failover+repeated-cancellations",
        "129, zone-partition+repeated-cancellations",
        "130, slow-store+repeated-cancellations+read-after-write",
        "131, leader-isolation+repeated-cancellations+read-after-write",
        "132, worker-hangs+repeated-cancellations+delayed-transactions", "133, cancellation-at-completion",
        "134, cancellation-at-completion+read-after-write+delayed-transactions",
        "135, machine-losses+cancellation-during-worker-partition", "136, invalid-requests",
        "137, invalid-requests+small-job-burst+leader-failovers",
        "138, long-store-outage+cancellation-during-worker-hangs",
        "139, restart-storm+duplicates-at-failover+lost-transaction-responses+read-after-write",
    )
    fun `invariants hold when faults coincide`(seed: Int, faults: String) = run(faults, SimCluster(seed, machinesPerZone = 4))

    /**
     * The controllers lack CPU time: they respond late, act on stale information and reject requests. The invariants
     * still hold, and accepted jobs finish once the controllers have enough CPU time again.
     */
    @ParameterizedTest
    @CsvSource(
        "201, cpu-starvation", "202, cpu-starvation+cancellation-before-outage",
        "203, cpu-starvation+full-controller-restart",
        "204, cpu-starvation+read-after-write+lost-transaction-responses",
        "205, cpu-starvation+leader-failovers+repeated-cancellations", "206, cpu-starvation+delayed-transactions",
        "207, cpu-starvation+ten-leader-failovers+repeated-cancellations",
        "208, cpu-starvation+cancellation-during-worker-hangs+cancellation-during-worker-partition",
        "209, cpu-starvation+failovers-during-boot",
        "210, cpu-starvation+duplicates-at-failover+delayed-duplicates",
        "211, cpu-starvation+small-job-burst", "212, cpu-starvation+transient-outbound-partition+leader-failovers",
        "213, cpu-starvation+zone-partition+repeated-cancellations", "214, cpu-starvation+long-controller-outage",
        "215, cpu-starvation+invalid-requests+read-after-write",
        "216, cpu-starvation+long-store-outage", "217, cpu-starvation+restart-storm",
        "218, cpu-starvation+controller-pauses+machine-losses", "219, cpu-starvation+slow-store+repeated-cancellations",
        "220, cpu-starvation+controller-isolation",
    )
    fun `invariants hold when controllers lack CPU time`(seed: Int, faults: String) {
        val cluster = SimCluster(seed, machinesPerZone = 4)
        run(faults, cluster)
        // If the controllers kept up with their queues, the test would not exercise CPU starvation.
        val maxQueueDelayNs = cluster.processors.map { it.maxQueueDelayNs }
        assertTrue(maxQueueDelayNs.all { it > SimLoop.SECOND / 2 }, maxQueueDelayNs.toString())
    }

    /**
     * Three gangs of one team wait for more GPUs than its limit allows. Meanwhile, each array of the team runs one task
     * at a time. An array without checkpoints must not be preempted while the preemption of other tasks would lose no
     * work.
     */
    @ParameterizedTest
    @CsvSource("1159, cpu-starvation+controller-isolation")
    fun `arrays behind gangs at the GPU limit of their team finish one task at a time`(seed: Int, faults: String) =
        run(faults, SimCluster(seed, machinesPerZone = 4), END_S + LONGEST_TASK_S)

    private fun run(faults: String, cluster: SimCluster, endS: Double = END_S) {
        val loop = cluster.loop
        val invariants = cluster.invariants
        for (index in cluster.controllerNames.indices) loop.after(index * 170 * SimLoop.MS) { cluster.boot(index) }
        val users = jobs(cluster)
        for ((n, user) in users.withIndex()) loop.after((2_000 + 3_100L * n) * SimLoop.MS, user::submit)
        FaultInjector(cluster, users).inject(faults)
        cluster.checkInvariantsPeriodically(FAULTS_END_S)
        loop.runUntil(endS)
        assertEquals(emptyList<String>(), invariants.violations.take(8))
        assertEquals(emptyList<String>(), cluster.store.violations)
        val unfinished = users.filter { invariants.reportedPhase(it.spec.id) !in InvariantChecker.FINAL_PHASES }
        assertEquals(emptyList<String>(), unfinished.map { it.spec.id + " " + invariants.reportedPhase(it.spec.id) })
        assertTrue(invariants.starts >= users.size, "${invariants.starts} starts")
    }

    private companion object {
        const val FAULTS_END_S = 125.0
        const val END_S = 420.0

        /** The run time of the longest task. */
        const val LONGEST_TASK_S = 60.0
    }
}
