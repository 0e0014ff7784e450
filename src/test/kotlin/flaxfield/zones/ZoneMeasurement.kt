package flaxfield.zones

import flaxfield.Samples
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

/** One cluster in three zones of which one is cut off, and how its work recovers. */
private class MeasuredLoss(private val machines: Int, private val isOn: Boolean, private val cutS: Double) : TaskWatcher {
    private val cluster = SimCluster(
        seed = machines,
        // Two zones hold four fifths of the work.
        machinesPerZone = machines * 2 / 5,
        limits = StateLimits(maxOf(150.0, machines * 0.5), maxOf(60.0, machines * 0.05), 32.0, 24),
        teams = TEAMS.map { Samples.team(it, gpus = machines * 4.0 / TEAMS.size) },
        fleet = { if (isOn) ZoneDay.CONFIG else null },
        zones = listOf("a", "b", "c"),
        machineZones = listOf("a", "b", "c"),
        operator = OperatorSettings(),
    )
    private val loop = cluster.loop
    private val running = HashMap<String, SimMachine>()
    private val classOf = HashMap<String, String>()
    private val displaced = HashMap<String, String>()
    private val againS = HashMap<String, Double>()
    private val startsAfter = HashMap<String, Int>()
    private var lostS = Double.MAX_VALUE
    private var secondS = Double.MAX_VALUE
    private var secondWave = 0
    private val elsewhere = HashSet<String>()

    override fun starts(spec: JobSpec, index: Int, machine: SimMachine) {
        val task = "${spec.id}/$index"
        classOf[task] = spec.jobClass
        running[task] = machine
        if (loop.nowS < lostS) return
        startsAfter.merge(task, 1, Int::plus)
        if (task in displaced) againS.putIfAbsent(task, loop.nowS - lostS)
        if (loop.nowS > secondS && task in elsewhere) secondWave++
    }

    override fun runs(spec: JobSpec, index: Int) = Unit

    override fun halted(spec: JobSpec, index: Int, gracePeriodS: Double) = Unit

    override fun left(spec: JobSpec, index: Int) {
        running -= "${spec.id}/$index"
    }

    override fun done(spec: JobSpec, index: Int) = Unit

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
                taskResources = NEED,
                jobClass = jobClass,
            )
            spec.copy(expectedRuntimeS = 1e6, imageGb = 1.0, checkpointIntervalS = 0.0, checkpointDurationS = 0.0)
        }
    }

    fun run() {
        cluster.invariants.watcher = this
        for (i in cluster.controllerNames.indices) loop.after(i * 150 * SimLoop.MS) { cluster.boot(i) }
        val jobs = jobs()
        for ((n, j) in jobs.withIndex()) {
            loop.after(
                (2_000 + 60L * n) * SimLoop.MS,
                SimUser(cluster, cluster.job(j))::submit,
            )
        }
        cluster.watch(1e9)
        val tasks = jobs.sumOf { it.taskCount }
        while (running.size < tasks * FILLED && loop.nowS < FILL_S) loop.runUntil(loop.nowS + 1.0)
        val machinesRented = cluster.cloud.machinesRented
        lose()
        loop.runUntil(lostS + cutS)
        cluster.network.zoneCut = null
        loop.runUntil(lostS + cutS + PAUSE_S)
        elsewhere += running.filterValues { it.zone != LOST }.keys
        secondS = loop.nowS
        cluster.network.zoneCut = LOST
        loop.runUntil(secondS + cutS)
        cluster.network.zoneCut = null
        loop.runUntil(secondS + cutS + END_S)
        heartbeat(tasks, machinesRented)
    }

    private fun lose() {
        lostS = loop.nowS
        for ((task, machine) in running) if (machine.zone == LOST) displaced[task] = classOf.getValue(task)
        cluster.network.zoneCut = LOST
        // The leader ends ten seconds after the loss, and so does the next one.
        for (s in listOf(CRASH_AFTER_S, CRASH_AFTER_S * 2)) {
            loop.after((s * SimLoop.SECOND).toLong()) {
                cluster.kill(cluster.leader, 3.0)
            }
        }
    }

    private fun heartbeat(tasks: Int, rentedBefore: Int) {
        println("machines=$machines on=$isOn tasks=$tasks displaced=${displaced.size} cut=$cutS s, twice")
        for ((tier, list) in displaced.entries.groupBy { ZoneDay.tier(it.value) }.toSortedMap()) {
            val again = list.mapNotNull { againS[it.key] }.sorted()
            val middle = again.getOrNull(again.size / 2) ?: Double.NaN
            println(
                "  tier $tier: %d of %d run again, half after %.0f s, the last after %.0f s".format(
                    again.size,
                    list.size,
                    middle,
                    again.lastOrNull() ?: Double.NaN,
                ),
            )
        }
        val repeated = startsAfter.filterKeys { it in displaced }.values.count { it > 1 }
        println(
            "  started more than once after the loss: $repeated; second wave: $secondWave; " +
                "rented after it: ${cluster.cloud.machinesRented - rentedBefore}",
        )
        println("  broken=${cluster.invariants.violations.take(3) + cluster.store.violations.take(3)}")
        fairness()
    }

    private fun fairness() {
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
            "  distance from the fair part at the end: " +
                shares.joinToString { "%s %.0f %%".format(it.team, it.shortfall * 100) },
        )
    }

    private companion object {
        val TEAMS = ZoneDay.TEAMS
        val NEED = Resources(4.0, 1.0, 16.0)
        const val LOST = "c"
        const val FILLED = 0.95
        const val FILL_S = 300.0
        const val PAUSE_S = 10.0
        const val END_S = 120.0
        const val CRASH_AFTER_S = 10.0
    }
}

/**
 * Measures a zone's loss outside CI: `ZoneMeasurementKt MACHINES CUT_S [off]`. Two leaders end in the loss; the zone is
 * cut a second time ten seconds after it is back. With `off` the same without a fleet file.
 */
fun main(arguments: Array<String>) {
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error")
    MeasuredLoss(arguments[0].toInt(), arguments.size < 3, arguments[1].toDouble()).run()
}
