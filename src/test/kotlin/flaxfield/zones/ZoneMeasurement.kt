package flaxfield.zones

import flaxfield.Samples
import flaxfield.drain.FleetZoneRules
import flaxfield.drain.TeamShareCalculator
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority
import flaxfield.jobs.Resources
import flaxfield.settings.OperatorSettings
import flaxfield.settings.StateLimits
import flaxfield.sim.SimCluster
import flaxfield.sim.SimLoop
import flaxfield.sim.SimMachine
import flaxfield.sim.SimUser
import flaxfield.sim.TaskWatcher

/** Measures how the tasks of one of three zones recover when the zone is partitioned twice. */
private class ZoneLossMeasurement(private val machines: Int, private val hasFleetFile: Boolean, private val partitionS: Double) :
    TaskWatcher {
    private val cluster = SimCluster(
        seed = machines,
        // Two zones have the capacity for four fifths of the tasks.
        machinesPerZone = machines * 2 / 5,
        limits = StateLimits(maxOf(150.0, machines * 0.5), maxOf(60.0, machines * 0.05), 32.0, 24),
        teams = TEAMS.map { Samples.team(it, gpus = machines * 4.0 / TEAMS.size) },
        fleet = { if (hasFleetFile) ZoneScenario.CONFIG else null },
        zones = listOf("a", "b", "c"),
        machineZones = listOf("a", "b", "c"),
        operator = OperatorSettings(),
    )
    private val loop = cluster.loop
    private val running = HashMap<String, SimMachine>()
    private val classOf = HashMap<String, String>()
    private val displaced = HashMap<String, String>()
    private val restartedAfterS = HashMap<String, Double>()
    private val startCounts = HashMap<String, Int>()
    private var lossS = Double.MAX_VALUE
    private var secondLossS = Double.MAX_VALUE
    private var displacedAgain = 0
    private val runningElsewhere = HashSet<String>()

    override fun onStarted(spec: JobSpec, index: Int, machine: SimMachine) {
        val task = "${spec.id}/$index"
        classOf[task] = spec.jobClass
        running[task] = machine
        if (loop.nowS < lossS) return
        startCounts.merge(task, 1, Int::plus)
        if (task in displaced) restartedAfterS.putIfAbsent(task, loop.nowS - lossS)
        if (loop.nowS > secondLossS && task in runningElsewhere) displacedAgain++
    }

    override fun onRunning(spec: JobSpec, index: Int) = Unit

    override fun onHalting(spec: JobSpec, index: Int, gracePeriodS: Double) = Unit

    override fun onRemoved(spec: JobSpec, index: Int) {
        running -= "${spec.id}/$index"
    }

    override fun onCompleted(spec: JobSpec, index: Int) = Unit

    private fun jobs(): List<JobSpec> {
        val size = maxOf(3, machines / 10)
        return (0 until machines * 4 / size).map { n ->
            val jobClass = listOf("call", "train", "night")[n % 3]
            val priority = if (jobClass == "night") Priority.IDLE else Priority.STANDARD
            val spec = Samples.spec(
                "job-1$n",
                taskCount = size,
                priority = priority,
                team = TEAMS[n % 4],
                taskResources = TASK_RESOURCES,
                jobClass = jobClass,
            )
            spec.copy(expectedRuntimeS = 1e6, imageGb = 1.0, checkpointIntervalS = 0.0, checkpointDurationS = 0.0)
        }
    }

    fun run() {
        cluster.invariants.watcher = this
        for (i in cluster.controllerNames.indices) loop.after(i * 150 * SimLoop.MS) { cluster.boot(i) }
        val jobs = jobs()
        for ((n, job) in jobs.withIndex()) {
            loop.after(
                (2_000 + 60L * n) * SimLoop.MS,
                SimUser(cluster, cluster.job(job))::submit,
            )
        }
        cluster.checkInvariantsPeriodically(1e9)
        val tasks = jobs.sumOf { it.taskCount }
        while (running.size < tasks * MIN_RUNNING_SHARE && loop.nowS < MAX_FILL_S) loop.runUntil(loop.nowS + 1.0)
        val machinesRented = cluster.cloud.machinesRented
        loseZone()
        loop.runUntil(lossS + partitionS)
        cluster.network.partitionedZone = null
        loop.runUntil(lossS + partitionS + RECONNECTED_S)
        runningElsewhere += running.filterValues { it.zone != LOST_ZONE }.keys
        secondLossS = loop.nowS
        cluster.network.partitionedZone = LOST_ZONE
        loop.runUntil(secondLossS + partitionS)
        cluster.network.partitionedZone = null
        loop.runUntil(secondLossS + partitionS + SETTLE_S)
        printReport(tasks, machinesRented)
    }

    private fun loseZone() {
        lossS = loop.nowS
        for ((task, machine) in running) if (machine.zone == LOST_ZONE) displaced[task] = classOf.getValue(task)
        cluster.network.partitionedZone = LOST_ZONE
        // The leader fails ten seconds after the loss, and the next one ten seconds later.
        for (s in listOf(LEADER_FAILURE_S, LEADER_FAILURE_S * 2)) {
            loop.after((s * SimLoop.SECOND).toLong()) {
                cluster.kill(cluster.leader, 3.0)
            }
        }
    }

    private fun printReport(tasks: Int, rentedBefore: Int) {
        println("machines=$machines fleet_file=$hasFleetFile tasks=$tasks displaced=${displaced.size} partition=$partitionS s, twice")
        for ((tier, list) in displaced.entries.groupBy { ZoneScenario.tier(it.value) }.toSortedMap()) {
            val restartTimesS = list.mapNotNull { restartedAfterS[it.key] }.sorted()
            val medianS = restartTimesS.getOrNull(restartTimesS.size / 2) ?: Double.NaN
            println(
                "  tier $tier: %d of %d restarted, median %.0f s, maximum %.0f s".format(
                    restartTimesS.size,
                    list.size,
                    medianS,
                    restartTimesS.lastOrNull() ?: Double.NaN,
                ),
            )
        }
        val restartedRepeatedly = startCounts.filterKeys { it in displaced }.values.count { it > 1 }
        println(
            "  restarted more than once: $restartedRepeatedly; displaced again: $displacedAgain; " +
                "machines rented after the loss: ${cluster.cloud.machinesRented - rentedBefore}",
        )
        println("  violations=${cluster.invariants.violations.take(3) + cluster.store.violations.take(3)}")
        printFairness()
    }

    private fun printFairness() {
        val snapshot =
            cluster.fleetControls.filterNotNull().maxByOrNull { it.publisher.current.revision }?.publisher?.current
                ?: return
        val shares = TeamShareCalculator(
            snapshot,
            TEAMS.associateWith {
                Samples.team(it, gpus = machines * 4.0 / TEAMS.size)
            },
            FleetZoneRules { snapshot },
        ).shares()
        println(
            "  shortfall from the fair share at the end: " +
                shares.joinToString { "%s %.0f %%".format(it.team, it.shortfall * 100) },
        )
    }

    private companion object {
        val TEAMS = ZoneScenario.TEAMS
        val TASK_RESOURCES = Resources(4.0, 1.0, 16.0)
        const val LOST_ZONE = "c"
        const val MIN_RUNNING_SHARE = 0.95
        const val MAX_FILL_S = 300.0
        const val RECONNECTED_S = 10.0
        const val SETTLE_S = 120.0
        const val LEADER_FAILURE_S = 10.0
    }
}

/**
 * Measures the recovery from a zone loss outside CI: `ZoneMeasurementKt MACHINES PARTITION_S [off]`. Two leaders fail
 * during the loss, and the zone is partitioned again ten seconds after the partition heals. With `off`, there is no
 * fleet file.
 */
fun main(arguments: Array<String>) {
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error")
    ZoneLossMeasurement(arguments[0].toInt(), arguments.size < 3, arguments[1].toDouble()).run()
}
