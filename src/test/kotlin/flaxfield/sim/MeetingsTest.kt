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

/** Faults that coincide, among jobs of all kinds, some of them long; the operators' list of such cases. */
class MeetingsTest {
    /** Arrays and gangs of both teams, one of them at its limit most of the time, some bound to a zone. */
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

    /** Every other job runs for longer than a cancellation may take. */
    private fun runtimeS(n: Int, random: Random): Double =
        if (n % 2 == 0) 40.0 + random.nextInt(20) else 6.0 + random.nextInt(12)

    /**
     * The state service refuses the leader alone, others confirm cancellations, then it is out for all for longer than
     * `cancel_s`, while workers report to the old leader: also where `cancel_s` is hardly more than two leases.
     */
    @ParameterizedTest
    @CsvSource(
        "202, gap, 20", "204, gap, 20", "202, gap, 12.5", "204, gap, 12.5", "210, gap, 12.5", "213, gap, 12.5",
        "214, gap, 12.5",
        "214, gap+slow, 12.5", "102, gap+looks, 12.5", "103, gap+fornext+silent, 12.5", "105, gap+kill, 12.5",
        "104, gap+slow+cancels, 20",
    )
    fun `what another node confirmed as cancelled is gone in time though the state service is out`(
        seed: Int,
        kind: String,
        cancelS: Double,
    ) = run(kind, SimCluster(seed, machinesPerZone = 4, cancelS = cancelS))

    @ParameterizedTest
    @CsvSource(
        // The seven cases that the operators named first; the first of them is above.
        "106, looks+cancels", "107, looks+silent+handover+atend",
        "108, silent+handover", "109, silent+tenleaders+cancels",
        "110, cancelhang+handover", "111, cancelcut+tenleaders", "112, cancelhang+cancelcut+freeze",
        "113, cancels+handover+looks", "114, cancels+lone",
        "115, quick+latewrites", "116, quick+silent+slow",
        "117, fornext+handover", "118, fornext+copies+tenleaders+taken",
        "119, swarm", "120, swarm+handover+looks",
        // The others that they named.
        "121, mute+cancels", "122, mute+handover", "123, deafspell+handover+copies", "124, latewrites+cancels+handover",
        "125, latewrites+blink", "126, tenleaders+longoutage", "127, away", "128, away+fornext+cancels",
        "129, zone+cancels",
        "130, slow+cancels+looks", "131, lonelead+cancels+looks",
        "132, hang+cancels+latewrites", "133, atend", "134, atend+looks+latewrites",
        "135, taken+cancelcut", "136, odd", "137, odd+swarm+handover", "138, longoutage+cancelhang",
        "139, blink+fornext+silent+looks",
    )
    fun `no rule breaks where troubles meet`(seed: Int, kind: String) = run(kind, SimCluster(seed, machinesPerZone = 4))

    /**
     * The same where the controllers lack processor time: they are late, act on old information, and refuse what they
     * can't take. The rules hold all the same, and what was accepted is served once there is time again.
     */
    @ParameterizedTest
    @CsvSource(
        "201, behind", "202, behind+gap", "203, behind+all",
        "204, behind+looks+silent", "205, behind+handover+cancels", "206, behind+latewrites",
        "207, behind+tenleaders+cancels", "208, behind+cancelhang+cancelcut", "209, behind+quick",
        "210, behind+fornext+copies",
        "211, behind+swarm", "212, behind+mute+handover", "213, behind+zone+cancels", "214, behind+away",
        "215, behind+odd+looks",
        "216, behind+longoutage", "217, behind+blink", "218, behind+freeze+taken", "219, behind+slow+cancels",
        "220, behind+lone",
    )
    fun `no rule breaks where controllers are always behind`(seed: Int, kind: String) {
        val cluster = SimCluster(seed, machinesPerZone = 4)
        run(kind, cluster)
        // A model that lets every controller keep up tests nothing.
        val maxBehindNs = cluster.processors.map { it.maxBehindNs }
        assertTrue(maxBehindNs.all { it > SimLoop.SECOND / 2 }, maxBehindNs.toString())
    }

    /**
     * Three gangs of one team wait for more than its limit, and its arrays have one task each at a time meanwhile. An
     * array without checkpoints must not be preempted beside tasks that would lose nothing.
     */
    @ParameterizedTest
    @CsvSource("1159, behind+lone")
    fun `arrays behind gangs at their team's limit end, one task after another`(seed: Int, kind: String) =
        run(kind, SimCluster(seed, machinesPerZone = 4), END_S + ONE_TASK_S)

    private fun run(faults: String, cluster: SimCluster, endS: Double = END_S) {
        val loop = cluster.loop
        val invariants = cluster.invariants
        for (index in cluster.controllerNames.indices) loop.after(index * 170 * SimLoop.MS) { cluster.boot(index) }
        val users = jobs(cluster)
        for ((n, user) in users.withIndex()) loop.after((2_000 + 3_100L * n) * SimLoop.MS, user::submit)
        FaultInjector(cluster, users).inject(faults)
        cluster.watch(FAULTS_END_S)
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

        /** As long as the longest task of a day's jobs takes. */
        const val ONE_TASK_S = 60.0
    }
}
