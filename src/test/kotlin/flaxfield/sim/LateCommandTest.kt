package flaxfield.sim

import flaxfield.Samples
import flaxfield.jobs.JobKind
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/**
 * Guards against a start command that takes effect a second time: a copy of each direct command reaches its worker
 * again, up to 16 s late, and copies of all reports reach the controllers, after the task was moved, was cancelled, has
 * ended, or after a controller or the machine has restarted at once. Direct commands contain no launches, and the
 * responses to reports, which do, are answers to a report in flight, so that no copy of them is executed.
 */
class LateCommandTest {
    @ParameterizedTest
    @CsvSource(
        "1, moved", "2, moved", "3, cancelled", "4, cancelled", "5, ended", "6, ended",
        "7, leader-restarted", "8, all-restarted", "9, machine-restarted", "10, machine-restarted",
    )
    fun `a late copy of a command starts no task again`(seed: Int, event: String) {
        val cluster = SimCluster(seed)
        val schedule = FaultSchedule(cluster.loop)
        cluster.transports.copiesCommands = true
        cluster.heartbeats.duplicateRate = 1.0
        cluster.heartbeats.duplicateForNextLeaderRate = 1.0
        for (i in 0..2) cluster.boot(i)
        val users = (0..3).map { n ->
            val isGang = n % 2 == 0
            val spec = Samples.spec(
                "job-$n",
                if (isGang) JobKind.GANG else JobKind.ARRAY,
                3,
                taskResources = Resources(5.0, 1.0, 8.0),
                team = "blue",
            ).copy(expectedRuntimeS = if (event == "ended" && n < 3) 3.0 else 40.0, checkpointDurationS = 1.0)
            SimUser(cluster, cluster.job(spec)).also { user -> schedule.at(5.0 + n, user::submit) }
        }
        val workers = cluster.cloud.workers.values
        // Repeated, so that commands of several terms and attempts are in flight.
        for (round in 0..2) {
            schedule.at(20.0 + round * 6.0) {
                val busy = workers.filter { it.hasLiveTasks }
                when (event) {
                    "moved" -> busy.firstOrNull()?.terminationNoticeS = 30.0
                    "cancelled" -> users[round].cancel()
                    "leader-restarted" -> cluster.kill(cluster.leader, 0.3)
                    "all-restarted" -> for (i in 0..2) cluster.kill(i, 0.5)
                    "machine-restarted" -> busy.firstOrNull()?.restart()
                }
                // Halts are in flight in each row.
                if (round == 2) users[3].cancel()
            }
        }
        cluster.checkInvariantsPeriodically(FAULTS_END_S)
        cluster.loop.runUntil(END_S)
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        assertEquals(emptyList<String>(), cluster.transports.directLaunches)
        assertTrue(cluster.transports.copiedCommands > 0, "no command was copied")
        assertEquals(
            emptyList<String>(),
            users.map { it.spec.id }.filter { cluster.invariants.reportedPhase(it) !in InvariantChecker.FINAL_PHASES },
        )
    }

    private companion object {
        const val FAULTS_END_S = 60.0
        const val END_S = 260.0
    }
}
