package flaxfield.zones

import flaxfield.Samples
import flaxfield.drain.BudgetLimit
import flaxfield.drain.DrainOrder
import flaxfield.drain.FleetConfig
import flaxfield.drain.OrderResult
import flaxfield.drain.RepeatPolicy
import flaxfield.jobs.GangTransactionSize
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

/** The configuration of a [ZoneScenario]. */
data class ZoneScenarioConfig(
    val seed: Int,
    /** The zones of the three controllers. */
    val controllerZones: List<String> = listOf("a", "b", "c"),
    /** How many machines of each type may be rented in each of three zones. */
    val machinesPerZone: Int = ZoneScenario.AMPLE_MACHINES,
    val jobs: List<JobSpec> = ZoneScenario.jobs(),
    val fleetConfig: FleetConfig? = ZoneScenario.CONFIG,
    val operator: OperatorSettings = OperatorSettings(),
)

/**
 * A simulated cluster in which [LOST_ZONE] is lost: three controllers, workers in three zones, four teams, three
 * recovery tiers, and the class `deed`, which forbids repeats.
 */
class ZoneScenario(private val config: ZoneScenarioConfig) {
    val cluster = SimCluster(
        config.seed,
        config.machinesPerZone,
        StateLimits(150.0, 60.0, 8.0, 24),
        teams = TEAMS.map { Samples.team(it, gpus = 12.0) },
        fleet = { config.fleetConfig },
        zones = config.controllerZones,
        machineZones = listOf("a", "b", "c"),
        operator = config.operator,
    )
    private val loop = cluster.loop
    val users = config.jobs.map { SimUser(cluster, cluster.job(it)) }

    /** The states of the lost zone's record, with their times. */
    val states = ArrayList<Pair<Double, String>>()

    val checker = ZoneChecker(cluster, LOST_ZONE, states)

    /** Called with each new state of the lost zone's record. */
    var onZoneState: (String) -> Unit = {}

    init {
        cluster.invariants.watcher = checker
        cluster.cloud.onReturn = checker::recordReturned
        cluster.store.onCommit = { recordState() }
        for (i in cluster.controllerNames.indices) loop.after(i * 150 * SimLoop.MS) { cluster.boot(i) }
        for ((n, user) in users.withIndex()) loop.after((2_000 + 100L * n) * SimLoop.MS, user::submit)
    }

    private fun recordState() {
        val state = cluster.store.text(StoreKeys.ZONE + LOST_ZONE, "state") ?: return
        if (states.lastOrNull()?.second == state) return
        states += loop.nowS to state
        onZoneState(state)
    }

    /** Runs [block] after [delayS] of virtual time. */
    fun after(delayS: Double, block: () -> Unit) = loop.after((delayS * SimLoop.SECOND).toLong(), block)

    /** Partitions the zone from everything outside it at [fromS] for [durationS]. */
    fun partition(fromS: Double, durationS: Double) {
        after(fromS) {
            checker.recordLoss()
            cluster.network.partitionedZone = LOST_ZONE
        }
        after(fromS + durationS) {
            cluster.network.partitionedZone = null
            checker.recordHealed()
        }
    }

    /** Terminates all machines of the zone at [atS], and keeps it unreachable from then on. */
    fun destroyZone(atS: Double) = after(atS) {
        checker.recordLoss()
        cluster.network.partitionedZone = LOST_ZONE
        for (worker in cluster.cloud.workers.values) if (worker.machine.zone == LOST_ZONE) worker.terminate()
    }

    /** Sends the order to abandon [jobClass] to one controller after another until one records it. */
    fun abandon(jobClass: String, controller: Int = 0) {
        var answered = false
        cluster.fleetControls[controller % cluster.controllerNames.size]?.abandon(LOST_ZONE, jobClass) { result ->
            answered = result is OrderResult.Recorded
        }
        after(2.0) { if (!answered) abandon(jobClass, controller + 1) }
    }

    /** Returns the zone as operators see it, from the controller with the latest revision. */
    fun zoneResponse(): Zone = ZoneResponses(snapshot(), teams).zones().first { it.name == LOST_ZONE }

    /** Returns the reasons why the jobs of [jobClass] wait, as operators see them. */
    fun waitReasons(jobClass: String): Set<String> {
        val snapshot = snapshot()
        return snapshot.jobs.values.filter { it.spec.jobClass == jobClass }
            .mapTo(sortedSetOf()) {
                JobExplainer(
                    snapshot,
                    teams,
                    GangTransactionSize(Samples.settings().stateLimits),
                    cluster.loop.wallClockMs(),
                ).explain(it).reason
            }
    }

    private val teams = TEAMS.associateWith { Samples.team(it, gpus = 12.0) }

    private fun snapshot() = cluster.fleetControls.filterNotNull().map { it.publisher.current }.maxBy { it.revision }

    /** Sends [order] to one controller after another until one records it. */
    fun drain(order: DrainOrder, controller: Int = 0) {
        var answered = false
        cluster.order(controller % cluster.controllerNames.size, order) {
            answered =
                it is OrderResult.Recorded
        }
        after(2.0) { if (!answered) drain(order, controller + 1) }
    }

    private var isWatching = false

    /** Runs the simulation until the virtual time [untilS], and checks the invariants continuously. */
    fun run(untilS: Double) {
        if (!isWatching) cluster.checkInvariantsPeriodically(FAULTS_END_S)
        isWatching = true
        loop.runUntil(untilS)
    }

    /** Returns the violations of the cluster's invariants, of the store protocol and of the recovery checks. */
    fun violations(): List<String> = cluster.invariants.violations.take(5) + cluster.store.violations.take(5) + checker.violations()

    /** Returns the ids of the jobs whose users have not received a final phase. */
    fun unfinished(): List<String> = config.jobs.map { it.id }.filter {
        cluster.invariants.reportedPhase(it) !in
            InvariantChecker.FINAL_PHASES
    }

    companion object {
        const val LOST_ZONE = "c"

        /** The number of machines of each type per zone with which two zones have enough capacity for all jobs. */
        const val AMPLE_MACHINES = 14

        /** The number of machines of each type per zone with which two zones lack the capacity for all jobs. */
        const val SCARCE_MACHINES = 8

        /** When all faults are over, so that invariants that hold only without faults are checked. */
        const val FAULTS_END_S = 200.0
        val TEAMS = listOf("red", "blue", "green", "grey")

        /** A fleet file with the tiers of most classes. The tier of `train` follows from its priority and is 2. */
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

        /** Returns the recovery tier of [jobClass], independently of the code under test. */
        fun tier(jobClass: String): Int = when (jobClass) {
            "call", "deed" -> 0
            "train" -> 2
            else -> 5
        }

        /**
         * Returns [count] jobs of three equal tasks that run for minutes; 30 jobs fill about 24 machines in three
         * zones. With [withAtMostOnceJobs], each tenth job is of the class that forbids repeats, and runs for
         * [atMostOnceRuntimeS].
         */
        fun jobs(withAtMostOnceJobs: Boolean = false, atMostOnceRuntimeS: Double = 160.0, count: Int = 30): List<JobSpec> =
            (1..count).map { n ->
                val jobClass = if (withAtMostOnceJobs && n % 10 == 0) "deed" else listOf("call", "train", "night")[n % 3]
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
                    expectedRuntimeS = if (jobClass == "deed") atMostOnceRuntimeS else 150.0 + 4 * (n % 8),
                    checkpointDurationS = 0.0,
                    imageGb = 1.0,
                )
            }
    }
}
