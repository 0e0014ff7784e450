package flaxfield.sim

import flaxfield.Samples
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/**
 * Runs a few jobs through one short fault, after which nothing else happens: no job arrives or ends that could free a
 * machine by chance. Every accepted job must run nevertheless.
 */
class QuietEndTest {
    /** One simulation, and what its tasks do. */
    private class Scenario(seed: Int, machinesPerZone: Int = 3) : TaskWatcher {
        val cluster = SimCluster(seed, machinesPerZone)
        val schedule = FaultSchedule(cluster.loop)
        val runningTasks = HashSet<TaskKey>()
        var firstRunningS = Double.MAX_VALUE
        var onFirstCompletion: (() -> Unit)? = null
        private val users = ArrayList<SimUser>()
        val workers get() = cluster.cloud.workers.values.toList()

        init {
            for (i in 0..2) cluster.boot(i)
            cluster.invariants.watcher = this
        }

        override fun onRunning(spec: JobSpec, index: Int) {
            runningTasks += TaskKey(spec.id, index)
            firstRunningS = minOf(firstRunningS, cluster.loop.nowS)
        }

        override fun onRemoved(spec: JobSpec, index: Int) {
            runningTasks -= TaskKey(spec.id, index)
        }

        override fun onCompleted(spec: JobSpec, index: Int) {
            onFirstCompletion?.invoke()
            onFirstCompletion = null
        }

        fun submit(spec: JobSpec): SimUser = SimUser(cluster, cluster.job(spec)).also { users += it }.apply { submit() }

        /** Makes every task that starts on the present machines within the next [durationS] fail. */
        fun failTasks(durationS: Double) {
            val faulty = workers
            schedule.during(0.0, durationS) { fails -> for (worker in faulty) worker.failsTasks = fails }
        }

        fun killLeader(afterS: Double) = schedule.at(afterS) { cluster.kill(cluster.leader, 1.0) }

        fun limitCapacity(machines: (zone: String, preemptible: Boolean) -> Int) {
            for ((zone, preemptible) in listOf("a" to true, "a" to false, "b" to true, "b" to false)) {
                cluster.cloud.limitCapacity(zone, preemptible, machines(zone, preemptible))
            }
        }

        /** Runs to the end, and returns the jobs that are not done. */
        fun unfinishedJobs(): List<String> {
            cluster.checkInvariantsPeriodically(FAULTS_END_S)
            cluster.loop.runUntil(END_S)
            assertEquals(emptyList<String>(), cluster.invariants.violations)
            return users.map { it.spec.id }.filter { cluster.invariants.reportedPhase(it) != "done" }
        }
    }

    private fun array(id: String, tasks: Int) = Samples.spec(id, taskCount = tasks, taskResources = Resources(1.0, 0.25, 4.0))
        .copy(expectedRuntimeS = 12.0, checkpointDurationS = 1.0)

    private fun longArray(id: String, tasks: Int, zone: String? = null, sameZone: Boolean = false) =
        Samples.spec(id, taskCount = tasks, taskResources = Resources(10.0, 3.0, 40.0), zone = zone, sameZone = sameZone)
            .copy(expectedRuntimeS = 2 * END_S)

    private fun gang(tasks: Int, sameZone: Boolean = true) = Samples.spec(
        "job-1",
        JobKind.GANG,
        tasks,
        taskResources = Resources(14.0, 4.0, 50.0),
        preemptible = false,
        sameZone = sameZone,
        team = "blue",
    ).copy(expectedRuntimeS = 60.0, checkpointDurationS = 1.0)

    /** Guards against review case 1: the job excluded the machine for ever, and the fleet counted its room. */
    @ParameterizedTest
    @CsvSource("1, false", "2, false", "3, true", "4, true")
    fun `a job that failed on a machine that was faulty for seconds starts again`(seed: Int, leaderFails: Boolean) {
        val scenario = Scenario(seed)
        val cluster = scenario.cluster
        // The older tasks end one after the other. Those that complete after the failure show nothing about new tasks.
        scenario.schedule.at(5.0) { scenario.submit(array("job-1", tasks = OLDER_TASKS)) }
        for (index in 0 until OLDER_TASKS) {
            cluster.invariants.checkpointedRemainingS[TaskKey("job-1", index)] = 6.0 + index * OLDER_TASK_INTERVAL_S
        }
        scenario.onFirstCompletion = {
            scenario.failTasks(durationS = 5.0)
            scenario.submit(array("job-0", tasks = 1))
            if (leaderFails) scenario.killLeader(afterS = 8.0)
        }
        assertEquals(emptyList<String>(), scenario.unfinishedJobs())
        assertTrue(cluster.cloud.machinesRented <= MAX_MACHINES_AFTER_ONE_FAILURE, "${cluster.cloud.machinesRented} rented")
    }

    /** Guards against the cause of review case 1 in a fleet that can't grow: the job failed on all of its machines. */
    @ParameterizedTest
    @ValueSource(ints = [5, 6, 7])
    fun `a job that failed on all machines of a full fleet starts again`(seed: Int) {
        val scenario = Scenario(seed)
        scenario.limitCapacity { _, preemptible -> if (preemptible) 1 else 0 }
        // Its two tasks keep both machines rented. Nothing else frees or adds a machine.
        scenario.schedule.at(5.0) { scenario.submit(longArray("job-1", tasks = 2)) }
        scenario.schedule.at(20.0) {
            scenario.failTasks(durationS = 10.0)
            scenario.submit(array("job-0", tasks = 1))
        }
        assertEquals(listOf("job-1"), scenario.unfinishedJobs())
    }

    /** Guards against a machine that stays suspect for longer than a job may wait, as its image takes long to fetch. */
    @ParameterizedTest
    @ValueSource(ints = [15, 16])
    fun `a machine that was faulty for seconds is used again if the cloud has no other`(seed: Int) {
        val scenario = Scenario(seed)
        scenario.limitCapacity { zone, preemptible -> if (zone == "a" && preemptible) 1 else 0 }
        scenario.schedule.at(5.0) { scenario.submit(longArray("job-1", tasks = 1)) }
        scenario.schedule.at(20.0) {
            scenario.failTasks(durationS = 5.0)
            scenario.submit(array("job-0", tasks = 1).copy(imageGb = LARGE_IMAGE_GB))
        }
        assertEquals(listOf("job-1"), scenario.unfinishedJobs())
        assertEquals(1, scenario.cluster.cloud.machinesRented)
    }

    /** Guards against review case 2: the fleet asked the zone of the gang's idle machines again and again. */
    @ParameterizedTest
    @CsvSource("8, false", "9, false", "10, true")
    fun `a gang whose zone has no further machine starts in another zone`(seed: Int, leaderFails: Boolean) {
        val scenario = Scenario(seed)
        val cluster = scenario.cluster
        scenario.schedule.at(5.0) { scenario.submit(gang(tasks = 3)) }
        scenario.schedule.at(25.0) {
            val lost = scenario.workers.first { it.hasLiveTasks }
            cluster.cloud.limitCapacity(lost.machine.zone, preemptible = false, machines = 2)
            lost.terminate()
            if (leaderFails) scenario.killLeader(afterS = 3.0)
        }
        assertEquals(emptyList<String>(), scenario.unfinishedJobs())
        val zones = scenario.workers.filter { !it.terminated }.map { it.machine.zone }.toSet()
        assertTrue(zones.size <= 1, "the machines that the gang can't use are returned: $zones")
    }

    /** Guards against the cause of review case 2 for arrays: the fleet counted room where the job's other tasks are not. */
    @ParameterizedTest
    @ValueSource(ints = [13, 14])
    fun `tasks of an array that is bound to the zone of its other tasks get machines there`(seed: Int) {
        val scenario = Scenario(seed)
        val bound = longArray("job-1", tasks = 2, sameZone = true)
        scenario.schedule.at(5.0) { scenario.submit(bound) }
        scenario.schedule.at(20.0) {
            val zone = scenario.workers.first { it.hasLiveTasks }.machine.zone
            // Its machine in the other zone has room for a task of the bound array.
            scenario.submit(longArray("job-2", tasks = 1, zone = if (zone == "a") "b" else "a").copy(taskResources = SMALL))
        }
        scenario.schedule.at(30.0) { scenario.workers.first { it.hasLiveTasks }.terminate() }
        assertEquals(listOf("job-1", "job-2"), scenario.unfinishedJobs())
        assertEquals(bound.taskCount, scenario.runningTasks.count { it.jobId == bound.id })
    }

    /** Guards against machines that stay rented without end for a gang that no zone has enough machines for. */
    @ParameterizedTest
    @ValueSource(ints = [11, 12])
    fun `machines that a gang can't use for want of others are returned, and rarely rented again`(seed: Int) {
        val scenario = Scenario(seed)
        val cluster = scenario.cluster
        scenario.limitCapacity { _, preemptible -> if (preemptible) 0 else 2 }
        scenario.schedule.at(5.0) { scenario.submit(gang(tasks = 3)) }
        assertEquals(listOf("job-1"), scenario.unfinishedJobs())
        val rentedBefore = cluster.cloud.machinesRented
        var secondsWithoutMachines = 0
        repeat(RENEWED_ATTEMPT_S) {
            cluster.loop.runUntil(cluster.loop.nowS + 1.0)
            if (cluster.cloud.workers.isEmpty()) secondsWithoutMachines++
        }
        val rented = cluster.cloud.machinesRented - rentedBefore
        assertTrue(secondsWithoutMachines > RENEWED_ATTEMPT_S / 2, "$secondsWithoutMachines s without machines")
        assertTrue(rented <= MAX_RENTED_PER_ATTEMPT, "$rented machines rented")
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
        val scenario = Scenario(seed, machinesPerZone = 6)
        var rented = 0
        scenario.cluster.cloud.onRented = { it.pullDurationS = if (rented++ % 2 == 0) FAST_PULL_S else SLOW_PULL_S }
        var user: SimUser? = null
        scenario.schedule.at(3.0) { user = scenario.submit(gang(tasks = 2, sameZone = false).copy(imageGb = SLOW_IMAGE_GB)) }
        // The task on the fast machine waits for the other one then.
        scenario.schedule.at(16.0) {
            val busy = scenario.workers.filter { it.hasLiveTasks }
            when (disruption) {
                "leader-failover" -> scenario.killLeader(afterS = 0.0)
                "lost-launch" -> scenario.schedule.during(0.0, SimCluster.LEASE_S / 2) { on ->
                    for (worker in busy) {
                        worker.inboundBlocked =
                            on
                    }
                }
                "machine-loss" -> busy.last().terminate()
                "cancellation" -> user?.cancel()
            }
        }
        val isCancelled = disruption == "cancellation"
        assertEquals(if (isCancelled) listOf("job-1") else emptyList(), scenario.unfinishedJobs())
        assertEquals(isCancelled, scenario.firstRunningS == Double.MAX_VALUE)
        assertTrue(isCancelled || scenario.firstRunningS < startsBeforeS, "started at ${scenario.firstRunningS} s")
        assertTrue(scenario.workers.none { it.hasLiveTasks }, "a task is still on its machine")
    }

    private companion object {
        /** The time after a refusal until machines are rented again for a gang that holds none. */
        const val RENEWED_ATTEMPT_S = 300

        /** The two machines that each of the two zones has. */
        const val MAX_RENTED_PER_ATTEMPT = 4

        /** The time by which the fault of each scenario has ended. */
        const val FAULTS_END_S = 35.0
        const val END_S = 300.0

        const val FAST_PULL_S = 0.5

        /** Longer than the 10 s for which a member of a gang waits for the others. */
        const val SLOW_PULL_S = 14.0

        /** Its fetch usually takes 10 s. */
        const val SLOW_IMAGE_GB = 40.0
        val SMALL = Resources(1.0, 0.25, 4.0)

        /** Its fetch usually takes 100 s. */
        const val LARGE_IMAGE_GB = 400.0
        const val OLDER_TASKS = 12
        const val OLDER_TASK_INTERVAL_S = 0.3

        /** The machine that was faulty, and one in its place. */
        const val MAX_MACHINES_AFTER_ONE_FAILURE = 2
    }
}
