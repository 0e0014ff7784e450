package flaxfield.sim

import flaxfield.Samples
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources
import flaxfield.settings.StateLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/**
 * Gangs of hundreds of tasks, and gangs on more machines than a transaction may change. The limits are those of a site;
 * the sizes of messages and transactions are checked against PROTOCOL-flaxfield.md.
 */
class LargeJobsTest {
    private class Scenario(seed: Int, machinesPerZone: Int, operatorLimits: StateLimits = LIMITS) {
        val cluster = SimCluster(seed, machinesPerZone, operatorLimits)
        val schedule = FaultSchedule(cluster.loop)
        private val users = ArrayList<SimUser>()

        init {
            for (zone in listOf("a", "b")) cluster.cloud.limitCapacity(zone, preemptible = true, machines = 0)
            for (i in 0..2) cluster.boot(i)
        }

        fun submitAt(seconds: Double, spec: JobSpec): SimUser {
            val user = SimUser(cluster, cluster.job(spec))
            users += user
            schedule.at(seconds, user::submit)
            return user
        }

        /** Calls [action] as soon as [machines] machines are reserved for a gang. */
        fun onReservations(machines: Int, action: () -> Unit) {
            var isDone = false
            cluster.store.onCommit = {
                if (!isDone && reservedMachines().size >= machines) {
                    isDone = true
                    cluster.loop.after(1, action)
                }
            }
        }

        fun reservedMachines(): List<String> = cluster.store.values(MACHINES)
            .filterValues { (it as Map<*, *>)["claim"] != null }
            .keys.map { it.removePrefix(MACHINES) }

        fun run(endS: Double = END_S) {
            cluster.checkInvariantsPeriodically(FAULTS_END_S)
            cluster.loop.runUntil(endS)
            assertEquals(emptyList<String>(), cluster.invariants.violations)
            assertEquals(emptyList<String>(), cluster.store.violations)
            assertEquals(emptyList<String>(), cluster.heartbeats.oversizedMessages)
            assertEquals(
                emptyList<String>(),
                users.map { it.spec.id }.filter { cluster.invariants.reportedPhase(it) !in InvariantChecker.FINAL_PHASES },
            )
        }
    }

    private fun gang(id: String, tasks: Int, resources: Resources, runtimeS: Double) =
        Samples.spec(id, JobKind.GANG, tasks, taskResources = resources, team = "blue", preemptible = false)
            .copy(expectedRuntimeS = runtimeS, checkpointIntervalS = 0.0)

    private fun smallTasks(id: String, tasks: Int, runtimeS: Double = 15.0) = gang(id, tasks, Resources(0.01, 0.0, 0.01), runtimeS)

    private fun wholeMachines(id: String, machines: Int) = gang(id, machines, Resources(14.0, 4.0, 50.0), 10.0)

    /** Guards against review case 6: a machine's report exceeded 64 KiB, and its lease ran out again and again. */
    @ParameterizedTest
    @ValueSource(ints = [1, 2])
    fun `gangs of small tasks never fill a machine beyond what its report may hold`(seed: Int) {
        val scenario = Scenario(seed, machinesPerZone = 1)
        for (n in 10 until 22) scenario.submitAt(15.0, smallTasks("job-0000$n", 280))
        scenario.submitAt(5.0, Samples.spec("job-9", taskCount = 16, taskResources = Resources(0.5, 0.0, 1.0)).copy(preemptible = false))
        scenario.run()
        assertEquals(0, scenario.cluster.invariants.leasesExpired)
        assertEquals(2, scenario.cluster.cloud.machinesRented)
    }

    /** Guards against review case 4: the end of large gangs kept the controllers from everything else. */
    @ParameterizedTest
    @CsvSource("3, cancelled", "4, machine-lost", "5, completed", "6, leader-lost")
    fun `the end of large gangs leaves nothing behind`(seed: Int, end: String) {
        val scenario = Scenario(seed, machinesPerZone = 4)
        val gangs = (0..1).map { scenario.submitAt(5.0, smallTasks("job-00000$it", 1_700, runtimeS = 20.0)) }
        scenario.submitAt(45.0, wholeMachines("job-8", 2))
        val cluster = scenario.cluster
        scenario.schedule.at(25.0) {
            when (end) {
                "cancelled" -> gangs.forEach(SimUser::cancel)
                "machine-lost" -> cluster.cloud.workers.values.first { it.hasLiveTasks }.terminate()
                "leader-lost" -> {
                    gangs.forEach(SimUser::cancel)
                    scenario.schedule.at(1.0) { cluster.kill(cluster.leader, 1.0) }
                }
            }
        }
        scenario.run()
        val expected = if (end == "cancelled" || end == "leader-lost") "aborted" else "done"
        assertEquals(listOf(expected, expected), gangs.map { cluster.invariants.reportedPhase(it.spec.id) })
    }

    /** Guards against review case 7: a gang on more machines than a transaction may change was accepted and never started. */
    @ParameterizedTest
    @CsvSource("7, none", "8, cancelled", "9, machine-lost", "10, leader-lost", "11, leader-lost", "12, store-rejects-leader")
    fun `a gang on more machines than a transaction may change starts, and leaves no reservation behind`(seed: Int, fault: String) {
        val scenario = Scenario(seed, machinesPerZone = 30)
        val gang = scenario.submitAt(5.0, wholeMachines("job-1", 40))
        // Needs all machines, so that a reservation left behind would keep it waiting.
        scenario.submitAt(60.0, wholeMachines("job-2", 60))
        val cluster = scenario.cluster
        var reserved = 0
        scenario.onReservations(machines = 2) {
            reserved = scenario.reservedMachines().size
            when (fault) {
                "cancelled" -> gang.cancel()
                "machine-lost" -> cluster.cloud.workers.getValue(scenario.reservedMachines().last()).terminate()
                "leader-lost" -> cluster.kill(cluster.leader, 0.5)
                "store-rejects-leader" -> {
                    val leader = cluster.leader
                    cluster.store.setRejected(leader, true)
                    scenario.schedule.at(10.0) { cluster.store.setRejected(leader, false) }
                }
            }
        }
        scenario.run()
        assertTrue(reserved in 2 until 40, "$reserved machines were reserved when the fault began")
        assertEquals(if (fault == "cancelled") "aborted" else "done", cluster.invariants.reportedPhase("job-1"))
        assertEquals("done", cluster.invariants.reportedPhase("job-2"))
    }

    private companion object {
        /** The limits of firma-andina-ops. */
        val LIMITS = StateLimits(rps = 150.0, writeRps = 30.0, valueKb = 32.0, txnOps = 24)
        const val MACHINES = "live/host/"
        const val FAULTS_END_S = 50.0
        const val END_S = 330.0
    }
}
