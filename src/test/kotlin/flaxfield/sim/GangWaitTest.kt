package flaxfield.sim

import flaxfield.Samples
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Runs a gang whose machines take longer to fetch its image, one after the other, than a member waits for the others. */
class GangWaitTest {
    private class StartWatcher(private val cluster: SimCluster) : TaskWatcher {
        var startedS = Double.MAX_VALUE

        override fun onRunning(spec: JobSpec, index: Int) {
            startedS = minOf(startedS, cluster.loop.nowS)
        }

        override fun onHalting(spec: JobSpec, index: Int, gracePeriodS: Double) = Unit

        override fun onRemoved(spec: JobSpec, index: Int) = Unit

        override fun onCompleted(spec: JobSpec, index: Int) = Unit
    }

    /** Guards against review case 3: the gang restarted for ever, and each time gave up a fetch that was nearly complete. */
    @ParameterizedTest
    @CsvSource(
        "1, none, 30",
        "2, none, 30",
        "3, leader-failover, 36",
        "4, leader-failover, 36",
        "6, lost-launch, 42",
        "7, machine-loss, 60",
        "9, cancellation, 0",
    )
    fun `a gang starts although one fetch takes longer than its other members wait`(seed: Int, disruption: String, startsBeforeS: Double) {
        val cluster = SimCluster(seed, machinesPerZone = 6)
        val schedule = FaultSchedule(cluster.loop)
        val watcher = StartWatcher(cluster)
        cluster.invariants.watcher = watcher
        for (i in 0..2) cluster.boot(i)
        var rented = 0
        cluster.cloud.onRented = { it.pullDurationS = if (rented++ % 2 == 0) FAST_PULL_S else SLOW_PULL_S }
        val spec = Samples.spec(
            "job-1",
            JobKind.GANG,
            taskCount = 2,
            taskResources = Resources(14.0, 4.0, 50.0),
            preemptible = false,
            team = "blue",
        ).copy(imageGb = IMAGE_GB, expectedRuntimeS = 10.0, checkpointDurationS = 1.0)
        val user = SimUser(cluster, cluster.job(spec))
        schedule.at(3.0, user::submit)
        schedule.at(DISRUPTION_S) {
            val busy = cluster.cloud.workers.values.filter { it.hasLiveTasks }
            when (disruption) {
                "leader-failover" -> cluster.kill(cluster.leader, 1.0)
                "lost-launch" -> for (worker in busy) {
                    worker.inboundBlocked = true
                    schedule.at(SimCluster.LEASE_S / 2) { worker.inboundBlocked = false }
                }
                "machine-loss" -> busy.last().terminate()
                "cancellation" -> user.cancel()
            }
        }
        cluster.checkInvariantsPeriodically(FAULTS_END_S)
        cluster.loop.runUntil(END_S)
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        if (disruption == "cancellation") {
            assertEquals("aborted", cluster.invariants.reportedPhase(spec.id))
            assertEquals(Double.MAX_VALUE, watcher.startedS)
        } else {
            assertEquals("done", cluster.invariants.reportedPhase(spec.id))
            assertTrue(watcher.startedS < startsBeforeS, "started at ${watcher.startedS} s")
        }
        assertTrue(cluster.cloud.workers.values.none { it.hasLiveTasks }, "a task is still on its machine")
    }

    private companion object {
        const val FAST_PULL_S = 0.5

        /** Longer than the 10 s for which a member of a gang waits for the others. */
        const val SLOW_PULL_S = 14.0

        /** Takes 10 s at the rate of the machine type. */
        const val IMAGE_GB = 40.0

        /** The fast machine's task waits for the other one then. */
        const val DISRUPTION_S = 16.0
        const val FAULTS_END_S = 40.0
        const val END_S = 150.0
    }
}
