package flaxfield.drain

import flaxfield.Samples
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority
import flaxfield.jobs.Resources
import flaxfield.settings.StateLimits
import flaxfield.sim.SimCluster
import flaxfield.sim.SimLoop
import flaxfield.sim.SimUser

/** Measures a drain of [percent] of the machines in a simulated cluster with one task per machine. */
private class MeasuredDrain(private val machines: Int, private val percent: Double, private val withDrain: Boolean) {
    private val taskSize = Amount(14.0, 4.0)
    private val machinesPerTeam = machines / DrainScenario.TEAMS.size

    /**
     * The fraction of a team's capacity that may be unavailable. It is larger for small teams, since a tenth of their
     * capacity covers no single task.
     */
    private val budgetFraction = if (machinesPerTeam < SMALL_TEAM_MACHINES) BUDGET_FRACTION * 2 else BUDGET_FRACTION
    private val budgets = DrainScenario.TEAMS.associateWith {
        Amount(
            taskSize.cpus * machinesPerTeam * budgetFraction,
            taskSize.gpus * machinesPerTeam * budgetFraction,
        )
    }
    private val config = DrainScenario.config(emptyMap(), surge = maxOf(2, machines / 50))
        .copy(defaultBudget = BudgetLimit.Percent(budgetFraction * 100))
    private val cluster = SimCluster(
        seed = machines,
        machinesPerZone = machines,
        limits = StateLimits(maxOf(150.0, machines * 0.5), maxOf(60.0, machines * 0.05), 32.0, 24),
        teams = DrainScenario.TEAMS.map { Samples.team(it) },
        fleet = { if (withDrain) config else null },
    )
    private val loop = cluster.loop
    private val meter =
        UnavailabilityMeter(CapacityChecker({ loop.nowS }, budgets) { cluster.invariants.isCancelRequested(it) }) { loop.nowS }

    private fun jobs(): List<JobSpec> {
        val size = minOf(100, maxOf(1, machinesPerTeam / 3))
        return DrainScenario.TEAMS.flatMapIndexed { t, team ->
            (0 until machinesPerTeam / size).map { n ->
                Samples.spec(
                    "job-${t + 1}$n",
                    taskCount = size,
                    priority = Priority.STANDARD,
                    team = team,
                    taskResources = Resources(taskSize.cpus, taskSize.gpus, 50.0),
                    preemptible = false,
                    jobClass = "train",
                ).copy(expectedRuntimeS = 1e6, checkpointDurationS = 1.0, imageGb = 1.0)
            }
        }
    }

    fun run() {
        cluster.invariants.watcher = meter
        for (i in cluster.controllerNames.indices) loop.after(i * 150 * SimLoop.MS) { cluster.boot(i) }
        val jobs = jobs()
        for ((n, j) in jobs.withIndex()) loop.after((2_000 + 60L * n) * SimLoop.MS, SimUser(cluster, cluster.job(j))::submit)
        cluster.checkInvariantsPeriodically(1e9)
        val tasks = jobs.sumOf { it.taskCount }
        var filledS = 0.0
        while (meter.running < tasks && loop.nowS < MAX_FILL_S) loop.runUntil(loop.nowS + 1.0)
        filledS = loop.nowS
        val selector = Selector(emptySet(), "big", null, null, percent)
        if (withDrain) cluster.order(cluster.leader, DrainOrder.Start("d-1", selector)) { check(it is OrderResult.Recorded) { it } }
        val startNs = System.nanoTime()
        val crashS = filledS + CRASH_AFTER_S
        loop.after((CRASH_AFTER_S * SimLoop.SECOND).toLong()) { cluster.kill(cluster.leader, 3.0) }
        fun phase() = cluster.store.text(FleetKeys.DRAIN + "d-1", "phase")
        val untilS = filledS + if (withDrain) MAX_DRAIN_S else IDLE_S
        while (loop.nowS < untilS && phase() != "done") loop.runUntil(loop.nowS + 1.0)
        val tookS = loop.nowS - filledS
        val wallMsPerSimulatedS = (System.nanoTime() - startNs) / 1e6 / tookS
        printReport(tasks, filledS, crashS, tookS, wallMsPerSimulatedS, phase())
    }

    private fun printReport(tasks: Int, filledS: Double, crashS: Double, tookS: Double, wallMsPerSimulatedS: Double, phase: String?) {
        println(
            "machines=$machines rented=${cluster.cloud.machinesRented} tasks=$tasks percent=$percent drains=$withDrain phase=$phase " +
                "filled=%.0f s, leader crash at %.0f s, took=%.0f s".format(filledS, crashS, tookS),
        )
        val violations =
            cluster.invariants.violations.take(3) + cluster.store.violations.take(3) + meter.checker.evictionViolations.take(3)
        println(
            "  stops=${meter.stops.values.sum()} of ${meter.stops.size} tasks, " +
                "mean unavailable=%.1f s, least time within the budget=%.0f s".format(meter.meanS, minDurationS()) +
                " leases lost=${cluster.invariants.leasesExpired} violations=$violations",
        )
        println(
            "  %.1f ms of wall-clock time per simulated second for three controllers and all simulated workers; " +
                "cloud refused %d of %d; state refused %d of %d"
                    .format(
                        wallMsPerSimulatedS,
                        cluster.cloud.rejectedCount,
                        cluster.cloud.requestCount,
                        cluster.store.rejectedCount,
                        cluster.store.requestCount,
                    ),
        )
        val control = cluster.fleetControls.filterNotNull().firstOrNull() ?: return
        val snapshot = control.publisher.current
        println(
            "  drain plan: %.2f ms, availability of teams: %.2f ms, machine list: %.2f ms".format(
                time { DrainPlanner(snapshot).plan() },
                time { snapshot.policy()?.let { Availability(snapshot, it).teams } },
                time { flaxfield.operator.MachineResponses(snapshot).machines() },
            ),
        )
    }

    /**
     * Returns the least duration of the drain within the budgets: for each team, its number of stops divided by the
     * tasks that may be unavailable at once, times the mean unavailability of a stopped task.
     */
    private fun minDurationS(): Double = DrainScenario.TEAMS.maxOf { team ->
        val stops = meter.stops.filterKeys { cluster.specs[it.substringBefore('/')]?.team == team }.values.sum()
        val atOnce = maxOf(1, (machinesPerTeam * budgetFraction).toInt())
        stops.toDouble() / atOnce * meter.meanS
    }

    private fun time(block: () -> Any?): Double {
        repeat(REPETITIONS) { block() }
        val startNs = System.nanoTime()
        repeat(REPETITIONS) { block() }
        return (System.nanoTime() - startNs) / 1e6 / REPETITIONS
    }

    private companion object {
        const val BUDGET_FRACTION = 0.1
        const val SMALL_TEAM_MACHINES = 10
        const val MAX_FILL_S = 400.0
        const val MAX_DRAIN_S = 900.0
        const val IDLE_S = 60.0
        const val CRASH_AFTER_S = 10.0
        const val REPETITIONS = 20
    }
}

/** Measures how long stopped tasks are unavailable, and delegates to [checker]. */
private class UnavailabilityMeter(val checker: CapacityChecker, private val now: () -> Double) : flaxfield.sim.TaskWatcher by checker {
    private val unavailableSinceS = HashMap<String, Double>()
    private var totalUnavailableS = 0.0
    private var restarts = 0
    private val runningTasks = HashSet<String>()

    /** The number of tasks that run now. */
    val running: Int get() = runningTasks.size

    /** The number of stops of each task; repeated stop requests count once. */
    val stops = HashMap<String, Int>()

    /** The mean time for which a stopped task was unavailable. */
    val meanS: Double get() = if (restarts == 0) 0.0 else totalUnavailableS / restarts

    override fun onRunning(spec: JobSpec, index: Int) {
        runningTasks += "${spec.id}/$index"
        unavailableSinceS.remove("${spec.id}/$index")?.let {
            totalUnavailableS += now() - it
            restarts++
        }
        checker.onRunning(spec, index)
    }

    override fun onHalting(spec: JobSpec, index: Int, gracePeriodS: Double) {
        if (unavailableSinceS.putIfAbsent("${spec.id}/$index", now()) == null) stops.merge("${spec.id}/$index", 1, Int::plus)
        checker.onHalting(spec, index, gracePeriodS)
    }

    override fun onRemoved(spec: JobSpec, index: Int) {
        runningTasks -= "${spec.id}/$index"
        checker.onRemoved(spec, index)
    }
}

/**
 * Measures drains outside CI: `DrainMeasurementKt MACHINES PERCENT [off]`. The leader crashes ten seconds into the
 * drain. With `off`, the same cluster runs for a minute without a fleet file.
 */
fun main(arguments: Array<String>) {
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error")
    MeasuredDrain(arguments[0].toInt(), arguments[1].toDouble(), arguments.size < 3).run()
}
