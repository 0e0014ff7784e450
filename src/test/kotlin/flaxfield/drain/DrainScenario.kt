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

/** The setup of one [DrainScenario]. */
data class DrainScenarioPlan(
    val seed: Int,
    val faults: String = "no-faults",
    val budgets: Map<String, Amount> = BUDGETS,
    val configOf: (Int) -> FleetConfig? = { DrainScenario.config(budgets) },
    /** The maximum number of rented machines in each of the two zones. */
    val machinesPerZone: Int = 13,
    val jobs: List<JobSpec> = DrainScenario.jobs(),
) {
    companion object {
        val BUDGETS = mapOf("red" to Amount(12.0, 3.0), "blue" to Amount(8.0, 2.0), "green" to Amount(16.0, 4.0))
    }
}

/** A simulated cluster of about twenty workers, three teams and three controllers; the test orders the drains. */
class DrainScenario(private val plan: DrainScenarioPlan) {
    val cluster = SimCluster(
        plan.seed,
        plan.machinesPerZone,
        StateLimits(150.0, 60.0, 8.0, 24),
        teams = TEAMS.map { Samples.team(it) },
        fleet = plan.configOf,
    )
    val loop = cluster.loop
    val recordChecker = RecordChecker(cluster.store, { loop.nowS }) { team, _ -> plan.budgets[team] ?: Amount(1e9, 1e9) }
    val capacityChecker = CapacityChecker({ loop.nowS }, plan.budgets) { cluster.invariants.isCancelRequested(it) }
    val users = plan.jobs.map { SimUser(cluster, cluster.job(it)) }

    /** The controllers' results of the orders, in the order received. */
    val orderResults = ArrayList<OrderResult<DrainRecord>>()

    init {
        cluster.store.onCommit = { recordChecker.check() }
        cluster.invariants.watcher = capacityChecker
        for (i in cluster.controllerNames.indices) loop.after(i * 150 * SimLoop.MS) { cluster.boot(i) }
        for ((n, user) in users.withIndex()) loop.after((2_000 + 150L * n) * SimLoop.MS, user::submit)
        FaultInjector(cluster, users).inject(plan.faults)
    }

    fun at(seconds: Double, block: () -> Unit) = loop.after((seconds * SimLoop.SECOND).toLong(), block)

    /** Sends an order to one controller after another until one records it or refuses it with a permanent error. */
    fun order(order: DrainOrder, controller: Int = 0) {
        var answered = false
        cluster.order(controller % cluster.controllerNames.size, order) { result ->
            answered = true
            orderResults += result
            val mayRetry =
                result is OrderResult.Refused && result.code in setOf(OrderErrorCode.UNAVAILABLE, OrderErrorCode.UNKNOWN)
            if (mayRetry) at(1.0) { order(order, controller + 1) }
        }
        at(2.0) { if (!answered) order(order, controller + 1) }
    }

    /** Returns the recorded phase of a drain; null if there is no record. */
    fun phase(id: String): String? = cluster.store.text(FleetKeys.DRAIN + id, "phase")

    /** Returns the recorded note of a drain; null if there is no record. */
    fun note(id: String): String? = cluster.store.text(FleetKeys.DRAIN + id, "note")

    /** Returns the latest snapshot of all controllers. */
    fun snapshot(): FleetSnapshot = cluster.fleetControls.filterNotNull().map {
        it.publisher.current
    }.maxBy { it.revision }

    fun run(untilS: Double) {
        if (!isWatching) cluster.checkInvariantsPeriodically(FAULTS_END_S)
        isWatching = true
        loop.runUntil(untilS)
    }

    private var isWatching = false

    /** Returns the violations of the protocol's invariants, of the records and of the budgets, up to five of each. */
    fun violations(): List<String> =
        cluster.invariants.violations.take(5) + cluster.store.violations.take(5) + recordChecker.violations.take(5) +
            capacityChecker.evictionViolations.take(5)

    /** Returns the ids of the jobs that have not reached a final phase. */
    fun unfinished(): List<String> = plan.jobs.map { it.id }.filter {
        cluster.invariants.reportedPhase(it) !in
            InvariantChecker.FINAL_PHASES
    }

    companion object {
        val TEAMS = listOf("red", "blue", "green")
        const val FAULTS_END_S = 125.0

        /** Returns a fleet file with [budgets] and job classes of each repeat policy. */
        fun config(budgets: Map<String, Amount> = DrainScenarioPlan.BUDGETS, surge: Int = 2) = FleetConfig(
            incarnation = "",
            budgets = budgets.mapValues { (_, amount) -> BudgetLimit.Absolute(Capacity(amount.cpus, amount.gpus)) },
            defaultBudget = BudgetLimit.Percent(10.0),
            classes = mapOf("deed" to RepeatPolicy.NEVER, "batch" to RepeatPolicy.ANY),
            defaultRepeat = RepeatPolicy.CHECKPOINTED,
            surgeMachines = surge,
            maxCordoned = 1_000,
        )

        /** Returns arrays and gangs of three teams that fill about twenty machines for about four minutes. */
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
