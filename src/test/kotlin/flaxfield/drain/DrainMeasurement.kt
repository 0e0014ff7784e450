package flaxfield.drain

import flaxfield.Samples
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority
import flaxfield.jobs.Resources
import flaxfield.settings.StateLimits
import flaxfield.sim.SimCluster
import flaxfield.sim.SimLoop
import flaxfield.sim.SimUser

/** One cluster in which tasks fill machines one to one, and how a drain of a share of them goes. */
private class Measured(private val machines: Int, private val percent: Double, private val drains: Boolean) {
    private val each = Amount(14.0, 4.0)
    private val perTeam = machines / DrainDay.TEAMS.size

    /**
     * Part of a team's capacity that may be unavailable; of few machines a larger one, since a tenth holds no single
     * task.
     */
    private val share = if (perTeam < SMALL_TEAM) SHARE * 2 else SHARE
    private val budgets = DrainDay.TEAMS.associateWith { Amount(each.cpus * perTeam * share, each.gpus * perTeam * share) }
    private val config = DrainDay.config(emptyMap(), surge = maxOf(2, machines / 50))
        .copy(defaultBudget = BudgetLimit.Percent(share * 100))
    private val cluster = SimCluster(
        seed = machines,
        machinesPerZone = machines,
        limits = StateLimits(maxOf(150.0, machines * 0.5), maxOf(60.0, machines * 0.05), 32.0, 24),
        teams = DrainDay.TEAMS.map { Samples.team(it) },
        fleet = { if (drains) config else null },
    )
    private val loop = cluster.loop
    private val workers = Unavailable(CapacityChecker({ loop.nowS }, budgets) { cluster.invariants.isCancelRequested(it) }) { loop.nowS }

    private fun jobs(): List<JobSpec> {
        val size = minOf(100, maxOf(1, perTeam / 3))
        return DrainDay.TEAMS.flatMapIndexed { t, team ->
            (0 until perTeam / size).map { n ->
                Samples.spec(
                    "job-${t + 1}$n",
                    taskCount = size,
                    priority = Priority.STANDARD,
                    team = team,
                    taskResources = Resources(each.cpus, each.gpus, 50.0),
                    preemptible = false,
                    jobClass = "train",
                ).copy(expectedRuntimeS = 1e6, checkpointDurationS = 1.0, imageGb = 1.0)
            }
        }
    }

    fun run() {
        cluster.invariants.watcher = workers
        for (i in cluster.controllerNames.indices) loop.after(i * 150 * SimLoop.MS) { cluster.boot(i) }
        val jobs = jobs()
        for ((n, j) in jobs.withIndex()) loop.after((2_000 + 60L * n) * SimLoop.MS, SimUser(cluster, cluster.job(j))::submit)
        cluster.watch(1e9)
        val tasks = jobs.sumOf { it.taskCount }
        var filledS = 0.0
        while (workers.running < tasks && loop.nowS < FILL_S) loop.runUntil(loop.nowS + 1.0)
        filledS = loop.nowS
        val selector = Selector(emptySet(), "big", null, null, percent)
        if (drains) cluster.order(cluster.leader, DrainOrder.Start("d-1", selector)) { check(it is OrderResult.Recorded) { it } }
        val startNs = System.nanoTime()
        val crash = filledS + CRASH_AFTER_S
        loop.after((CRASH_AFTER_S * SimLoop.SECOND).toLong()) { cluster.kill(cluster.leader, 3.0) }
        fun phase() = cluster.store.text(FleetKeys.DRAIN + "d-1", "phase")
        val untilS = filledS + if (drains) MAX_S else QUIET_S
        while (loop.nowS < untilS && phase() != "done") loop.runUntil(loop.nowS + 1.0)
        val tookS = loop.nowS - filledS
        val perSimulatedS = (System.nanoTime() - startNs) / 1e6 / tookS
        heartbeat(tasks, filledS, crash, tookS, perSimulatedS, phase())
    }

    private fun heartbeat(tasks: Int, filledS: Double, crashS: Double, tookS: Double, perSimulatedS: Double, phase: String?) {
        println(
            "machines=$machines rented=${cluster.cloud.machinesRented} tasks=$tasks percent=$percent drains=$drains phase=$phase " +
                "filled=%.0f s, leader crash at %.0f s, took=%.0f s".format(filledS, crashS, tookS),
        )
        val violations = cluster.invariants.violations.take(3) + cluster.store.violations.take(3) + workers.checker.overcharged.take(3)
        println(
            "  stops=${workers.stops.values.sum()} of ${workers.stops.size} tasks, " +
                "mean unavailable=%.1f s, bound by the budget=%.0f s".format(workers.meanS, bound()) +
                " leases lost=${cluster.invariants.leasesLost} broken=$violations",
        )
        println(
            "  %.1f ms of processor time a simulated second for three controllers and all stand-ins; " +
                "cloud refused %d of %d; state refused %d of %d"
                    .format(perSimulatedS, cluster.cloud.refused, cluster.cloud.served, cluster.store.refused, cluster.store.served),
        )
        val control = cluster.fleetControls.filterNotNull().firstOrNull() ?: return
        val snapshot = control.publisher.current
        println(
            "  plan of a turn: %.2f ms, of budgets: %.2f ms, machines list: %.2f ms".format(
                time { DrainPlanner(snapshot).plan() },
                time { snapshot.policy()?.let { Availability(snapshot, it).teams } },
                time { flaxfield.operator.MachineResponses(snapshot).machines() },
            ),
        )
    }

    /**
     * The least time that the budget allows: each team's stopped tasks, so many at once, each for as long as it was
     * away.
     */
    private fun bound(): Double = DrainDay.TEAMS.maxOf { team ->
        val halted = workers.stops.filterKeys { cluster.specs[it.substringBefore('/')]?.team == team }.values.sum()
        val atOnce = maxOf(1, (perTeam * share).toInt())
        halted.toDouble() / atOnce * workers.meanS
    }

    private fun time(block: () -> Any?): Double {
        repeat(WARM_UP) { block() }
        val startNs = System.nanoTime()
        repeat(WARM_UP) { block() }
        return (System.nanoTime() - startNs) / 1e6 / WARM_UP
    }

    private companion object {
        const val SHARE = 0.1
        const val SMALL_TEAM = 10
        const val FILL_S = 400.0
        const val MAX_S = 900.0
        const val QUIET_S = 60.0
        const val CRASH_AFTER_S = 10.0
        const val WARM_UP = 20
    }
}

/** Passes on to the checker, and measures for how long halted tasks are away. */
private class Unavailable(val checker: CapacityChecker, private val now: () -> Double) : flaxfield.sim.TaskWatcher by checker {
    private val since = HashMap<String, Double>()
    private var sum = 0.0
    private var count = 0
    private val runs = HashSet<String>()
    val running: Int get() = runs.size

    /** How often each task was stopped; a halt that is told twice is one stop. */
    val stops = HashMap<String, Int>()
    val meanS: Double get() = if (count == 0) 0.0 else sum / count

    override fun runs(spec: JobSpec, index: Int) {
        runs += "${spec.id}/$index"
        since.remove("${spec.id}/$index")?.let {
            sum += now() - it
            count++
        }
        checker.runs(spec, index)
    }

    override fun halted(spec: JobSpec, index: Int, gracePeriodS: Double) {
        if (since.putIfAbsent("${spec.id}/$index", now()) == null) stops.merge("${spec.id}/$index", 1, Int::plus)
        checker.halted(spec, index, gracePeriodS)
    }

    override fun left(spec: JobSpec, index: Int) {
        runs -= "${spec.id}/$index"
        checker.left(spec, index)
    }
}

/**
 * Measures drains outside CI: `DrainMeasurementKt MACHINES PERCENT [off]`. The leader crashes ten seconds into the
 * drain; with `off` the same cluster runs a minute without a fleet file.
 */
fun main(arguments: Array<String>) {
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error")
    Measured(arguments[0].toInt(), arguments[1].toDouble(), arguments.size < 3).run()
}
