package flaxfield.zones

import flaxfield.Samples
import flaxfield.drain.BudgetLimit
import flaxfield.drain.DrainOrder
import flaxfield.drain.FleetConfig
import flaxfield.drain.OrderResult
import flaxfield.drain.RepeatPolicy
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Priority
import flaxfield.jobs.Resources
import flaxfield.operator.JobExplainer
import flaxfield.operator.ZoneResponses
import flaxfield.operator.v1.Zone
import flaxfield.settings.OperatorSettings
import flaxfield.settings.StateLimits
import flaxfield.sim.InvariantChecker
import flaxfield.sim.SimCluster
import flaxfield.sim.SimLoop
import flaxfield.sim.SimUser
import flaxfield.store.StoreKeys

/** How a simulated loss of a zone is set up. */
data class ZonePlan(
    val seed: Int,
    /** Where the three controllers are. */
    val controllers: List<String> = listOf("a", "b", "c"),
    /** Machines of each kind that may be rented in each of three zones. */
    val machinesPerZone: Int = ZoneDay.ROOMY,
    val jobs: List<JobSpec> = ZoneDay.jobs(),
    val config: FleetConfig? = ZoneDay.CONFIG,
    val operator: OperatorSettings = OperatorSettings(),
)

/** Three controllers, stand-in workers in three zones, four teams, three tiers and a class that forbids repeats. */
class ZoneDay(private val plan: ZonePlan) {
    val cluster = SimCluster(
        plan.seed,
        plan.machinesPerZone,
        StateLimits(150.0, 60.0, 8.0, 24),
        teams = TEAMS.map { Samples.team(it, gpus = 12.0) },
        fleet = { plan.config },
        zones = plan.controllers,
        machineZones = listOf("a", "b", "c"),
        operator = plan.operator,
    )
    private val loop = cluster.loop
    val users = plan.jobs.map { SimUser(cluster, cluster.job(it)) }

    /** The states that the record came into, with their times. */
    val states = ArrayList<Pair<Double, String>>()

    val checker = ZoneChecker(cluster, LOST_ZONE, states)

    /** Told of each state that the lost zone's record comes into. */
    var onState: (String) -> Unit = {}

    init {
        cluster.invariants.watcher = checker
        cluster.cloud.onReturn = checker::returned
        cluster.store.onCommit = { noteState() }
        for (i in cluster.controllerNames.indices) loop.after(i * 150 * SimLoop.MS) { cluster.boot(i) }
        for ((n, user) in users.withIndex()) loop.after((2_000 + 100L * n) * SimLoop.MS, user::submit)
    }

    private fun noteState() {
        val now = cluster.store.text(StoreKeys.ZONE + LOST_ZONE, "state") ?: return
        if (states.lastOrNull()?.second == now) return
        states += loop.nowS to now
        onState(now)
    }

    fun at(seconds: Double, block: () -> Unit) = loop.after((seconds * SimLoop.SECOND).toLong(), block)

    /** Cuts the zone off at [fromS] for [forS]. */
    fun cut(fromS: Double, forS: Double) {
        at(fromS) {
            checker.lost()
            cluster.network.zoneCut = LOST_ZONE
        }
        at(fromS + forS) {
            cluster.network.zoneCut = null
            checker.healed()
        }
    }

    /** Every machine of the zone dies at [atS], and none can be rented there any more. */
    fun gone(atS: Double) = at(atS) {
        checker.lost()
        cluster.network.zoneCut = LOST_ZONE
        for (worker in cluster.cloud.workers.values) if (worker.machine.zone == LOST_ZONE) worker.terminate()
    }

    /** Orders to give up on [jobClass] at one controller after another, until one records it. */
    fun abandon(jobClass: String, controller: Int = 0) {
        var answered = false
        cluster.fleetControls[controller % cluster.controllerNames.size]?.abandon(LOST_ZONE, jobClass) { result ->
            answered = result is OrderResult.Recorded
        }
        at(2.0) { if (!answered) abandon(jobClass, controller + 1) }
    }

    /** What operators are told of the zone, by the controller that has seen most. */
    fun answer(): Zone = ZoneResponses(snapshot(), teams).zones().first { it.name == LOST_ZONE }

    /** The reasons why the jobs of [jobClass] wait, as operators are told them. */
    fun reasons(jobClass: String): Set<String> {
        val snapshot = snapshot()
        return snapshot.jobs.values.filter { it.spec.jobClass == jobClass }
            .mapTo(sortedSetOf()) { JobExplainer(snapshot, teams).explain(it).reason }
    }

    private val teams = TEAMS.associateWith { Samples.team(it, gpus = 12.0) }

    private fun snapshot() = cluster.fleetControls.filterNotNull().map { it.publisher.current }.maxBy { it.revision }

    fun drain(order: DrainOrder, controller: Int = 0) {
        var answered = false
        cluster.order(controller % cluster.controllerNames.size, order) {
            answered =
                it is OrderResult.Recorded
        }
        at(2.0) { if (!answered) drain(order, controller + 1) }
    }

    private var watching = false

    fun run(untilS: Double) {
        if (!watching) cluster.watch(QUIET_FROM_S)
        watching = true
        loop.runUntil(untilS)
    }

    /** Rules of the protocol that broke, and what the checker has found. */
    fun violations(): List<String> = cluster.invariants.violations.take(5) + cluster.store.violations.take(5) + checker.violations()

    fun unfinished(): List<String> = plan.jobs.map { it.id }.filter {
        cluster.invariants.reportedPhase(it) !in
            InvariantChecker.FINAL_PHASES
    }

    companion object {
        const val LOST_ZONE = "c"

        /** Machines of each kind in each zone, so that two zones hold all the work. */
        const val ROOMY = 14

        /** The same, so that two zones do not hold all the work. */
        const val SCARCE = 8
        const val QUIET_FROM_S = 200.0
        val TEAMS = listOf("red", "blue", "green", "grey")

        /** Tiers by class as the fleet file names them; `train` has the tier of its priority, 2. */
        val CONFIG = FleetConfig(
            incarnation = "",
            budgets = emptyMap(),
            defaultBudget = BudgetLimit.Percent(100.0),
            classes = mapOf("deed" to RepeatPolicy.NEVER),
            defaultRepeat = RepeatPolicy.ANY,
            surgeMachines = 0,
            maxCordoned = 1_000,
            recoveryTiers = mapOf("call" to 0, "deed" to 0, "night" to 5),
        )

        /** The tier of a class, as the checker knows it. */
        fun tier(jobClass: String): Int = when (jobClass) {
            "call", "deed" -> 0
            "train" -> 2
            else -> 5
        }

        /** Jobs of three tasks of equal size, each for minutes; 30 of them fill some 24 machines in three zones. */
        fun jobs(deeds: Boolean = false, deedS: Double = 160.0, count: Int = 30): List<JobSpec> = (1..count).map { n ->
            val jobClass = if (deeds && n % 10 == 0) "deed" else listOf("call", "train", "night")[n % 3]
            val priority = if (tier(jobClass) == 5) Priority.IDLE else Priority.STANDARD
            Samples.spec(
                id = "job-$n",
                jobClass = jobClass,
                taskCount = 3,
                priority = priority,
                team = TEAMS[n % 4],
                taskResources = Resources(4.0, 1.0, 16.0),
                checkpointIntervalS = 0.0,
            ).copy(
                expectedRuntimeS = if (jobClass == "deed") deedS else 150.0 + 4 * (n % 8),
                checkpointDurationS = 0.0,
                imageGb = 1.0,
            )
        }
    }
}
