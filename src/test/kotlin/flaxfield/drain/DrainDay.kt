package flaxfield.drain

import flaxfield.Samples
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority
import flaxfield.jobs.Resources
import flaxfield.settings.StateLimits
import flaxfield.sim.FaultInjector
import flaxfield.sim.InvariantChecker
import flaxfield.sim.SimCluster
import flaxfield.sim.SimLoop
import flaxfield.sim.SimUser

/** How a simulation with drains is set up. */
data class DayPlan(
    val seed: Int,
    val faults: String = "quiet",
    val budgets: Map<String, Amount> = BUDGETS,
    val configOf: (Int) -> FleetConfig? = { DrainDay.config(budgets) },
    /** Machines that may be rented in each of two zones. */
    val machinesPerZone: Int = 13,
    val jobs: List<JobSpec> = DrainDay.jobs(),
) {
    companion object {
        val BUDGETS = mapOf("red" to Amount(12.0, 3.0), "blue" to Amount(8.0, 2.0), "green" to Amount(16.0, 4.0))
    }
}

/** Some twenty stand-in workers, three teams and three controllers, with drains ordered by the test. */
class DrainDay(private val plan: DayPlan) {
    val cluster = SimCluster(
        plan.seed,
        plan.machinesPerZone,
        StateLimits(150.0, 60.0, 8.0, 24),
        teams = TEAMS.map { Samples.team(it) },
        fleet = plan.configOf,
    )
    val loop = cluster.loop
    val records = RecordChecker(cluster.store, { loop.nowS }) { team, _ -> plan.budgets[team] ?: Amount(1e9, 1e9) }
    val workers = CapacityChecker({ loop.nowS }, plan.budgets) { cluster.invariants.isCancelRequested(it) }
    val users = plan.jobs.map { SimUser(cluster, cluster.job(it)) }

    /** What controllers answered to orders, in order. */
    val answers = ArrayList<OrderResult<DrainRecord>>()

    init {
        cluster.store.onCommit = { records.check() }
        cluster.invariants.watcher = workers
        for (i in cluster.controllerNames.indices) loop.after(i * 150 * SimLoop.MS) { cluster.boot(i) }
        for ((n, user) in users.withIndex()) loop.after((2_000 + 150L * n) * SimLoop.MS, user::submit)
        FaultInjector(cluster, users).inject(plan.faults)
    }

    fun at(seconds: Double, block: () -> Unit) = loop.after((seconds * SimLoop.SECOND).toLong(), block)

    /** Orders something of the controllers, one after another, until one records it or refuses it for good. */
    fun order(order: DrainOrder, controller: Int = 0) {
        var answered = false
        cluster.order(controller % cluster.controllerNames.size, order) { result ->
            answered = true
            answers += result
            val mayRetry =
                result is OrderResult.Refused && result.fault in setOf(OrderFault.UNAVAILABLE, OrderFault.UNKNOWN)
            if (mayRetry) at(1.0) { order(order, controller + 1) }
        }
        at(2.0) { if (!answered) order(order, controller + 1) }
    }

    /** What is recorded of a drain. */
    fun phase(id: String): String? = cluster.store.text(FleetKeys.DRAIN + id, "phase")

    fun note(id: String): String? = cluster.store.text(FleetKeys.DRAIN + id, "note")

    /** The latest snapshot of a controller that has one. */
    fun snapshot(): FleetSnapshot = cluster.fleetControls.filterNotNull().map {
        it.publisher.current
    }.maxBy { it.revision }

    fun run(untilS: Double) {
        if (!watching) cluster.watch(FAULTS_END_S)
        watching = true
        loop.runUntil(untilS)
    }

    private var watching = false

    /** Rules of the protocol and of the records that broke. */
    fun violations(): List<String> = cluster.invariants.violations.take(5) + cluster.store.violations.take(5) + records.violations.take(5) +
        workers.overcharged.take(5)

    fun unfinished(): List<String> = plan.jobs.map { it.id }.filter {
        cluster.invariants.reportedPhase(it) !in
            InvariantChecker.FINAL_PHASES
    }

    companion object {
        val TEAMS = listOf("red", "blue", "green")
        const val FAULTS_END_S = 125.0

        /** A file with [budgets] and classes of each policy. */
        fun config(budgets: Map<String, Amount> = DayPlan.BUDGETS, surge: Int = 2) = FleetConfig(
            incarnation = "",
            budgets = budgets.mapValues { (_, a) -> BudgetLimit.Absolute(Capacity(a.cpus, a.gpus)) },
            defaultBudget = BudgetLimit.Percent(10.0),
            classes = mapOf("deed" to RepeatPolicy.NEVER, "batch" to RepeatPolicy.ANY),
            defaultRepeat = RepeatPolicy.CHECKPOINTED,
            surgeMachines = surge,
            maxCordoned = 1_000,
        )

        /** Arrays and gangs of three teams that fill some twenty machines for about four minutes. */
        fun jobs(): List<JobSpec> = (1..24).map { n ->
            val gang = n % 4 == 0
            Samples.spec(
                id = "job-$n",
                jobKind = if (gang) JobKind.GANG else JobKind.ARRAY,
                jobClass = if (n % 8 == 1) "batch" else "train",
                taskCount = if (gang) 2 else 3,
                priority = Priority.STANDARD,
                team = TEAMS[n % 3],
                taskResources = Resources(4.0, 1.0, 16.0),
                preemptible = false,
                checkpointIntervalS = 5.0,
            ).copy(expectedRuntimeS = 150.0 + 5 * (n % 7), checkpointDurationS = 1.0, imageGb = 1.0)
        }
    }
}
