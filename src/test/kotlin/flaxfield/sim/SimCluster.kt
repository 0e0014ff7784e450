package flaxfield.sim

import flaxfield.Samples
import flaxfield.drain.DrainOrder
import flaxfield.drain.DrainRecord
import flaxfield.drain.FleetConfig
import flaxfield.drain.FleetControl
import flaxfield.drain.OrderResult
import flaxfield.jobs.JobSpec
import flaxfield.net.Response
import flaxfield.settings.Address
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Peer
import flaxfield.settings.Settings
import flaxfield.settings.StateLimits
import flaxfield.settings.Team
import flaxfield.settings.WorkerTimes
import flaxfield.store.StoreKeys

/**
 * Three controllers with a simulated state service, cloud, workers and users. All run in the simulated time of [loop].
 * Each of [machineZones] has up to [machinesPerZone] on-demand machines and as many preemptible ones.
 */
class SimCluster(
    seed: Int,
    machinesPerZone: Int = 3,
    private val limits: StateLimits = StateLimits(150.0, 60.0, 4.0, 24),
    val cancelS: Double = CANCEL_S,
    private val teams: List<Team> = listOf(
        Samples.team("red", gpus = 4.0, gpusMax = 10.0 * machinesPerZone / 3),
        Samples.team("blue"),
    ),
    /** The fleet configuration of each controller by index; null if the controllers run without one. */
    private val fleet: ((Int) -> FleetConfig?)? = null,
    /** The zones of the controllers. */
    private val zones: List<String> = listOf("a", "b", "a"),
    private val machineZones: List<String> = listOf("a", "b"),
    private val operator: OperatorSettings = OperatorSettings(),
) {
    val loop = SimLoop(seed)
    val store = SimStore(loop, limits)
    val network = SimNetwork(loop, zones)
    val invariants =
        InvariantChecker(teams.filter { it.gpusMax > 0.0 }.associate { it.name to it.gpusMax }, cancelS, LEASE_S)

    /** The specifications of all jobs that users submit, by id. */
    val specs = HashMap<String, JobSpec>()
    val controllerNames = listOf("n-0", "n-1", "n-2")
    private val requests = SimRequests(loop, controllerNames, invariants, ::controller)
    val heartbeats = SimHeartbeats(loop, controllerNames, network, requests)
    private val workload = SimWorkload(invariants, specs, GangRegistry())
    private val workerTimes = SimWorkerTimes(heartbeatIntervalS = 1.0, leaseS = LEASE_S, gangWaitS = 10.0)
    val cloud: SimCloud = SimCloud(loop, machineZones.associateWith { machinesPerZone }, lagS = 3.0, ::createWorker)
    val transports = SimTransports(loop, controllerNames, network, store, cloud, ::controller)
    private val controllers: List<SimController> = controllerNames.indices.map(::createController)

    /** The processor of each controller. */
    val processors: List<SimProcessor> get() = controllers.map { it.processor }

    /** The fleet control of each controller's current process; null without a fleet configuration. */
    val fleetControls: List<FleetControl?> get() = controllers.map { it.fleetControl }

    /** Whether users read from all controllers within milliseconds after a job is accepted or reaches a final phase. */
    var immediateReads = false

    /** The factor by which the read rate of users is multiplied. Above 1, they also read jobs that do not exist. */
    var readLoadFactor = 1

    /** The number of leader changes so far. */
    var leaderChanges = 0
        private set
    private var leaderVersion = 0L

    /** The index of the current leader according to the state service; 0 while there is none. */
    val leader: Int get() = controllerNames.indexOf(store.text(StoreKeys.LEADER, "name")).coerceAtLeast(0)

    private fun controller(index: Int): SimController = controllers[index]

    private fun createWorker(machine: SimMachine): SimWorker {
        val sender = HeartbeatSender { controller, body, done -> heartbeats.send(machine.zone, controller, body, done) }
        val resources = SimCloud.MACHINE_RESOURCES
        return SimWorker(loop, machine, resources, workload, workerTimes, controllerNames, heartbeats = sender)
    }

    private fun createController(index: Int): SimController = SimController(
        loop,
        SimControllerSetup(settings(index), operator, {
            fleet?.invoke(index)
        }) { alive -> transports.of(index, alive) },
    )

    private fun settings(index: Int) = Settings(
        controllerNames[index],
        zones[index],
        controllerAddress(index, SERVE_PORT),
        controllerAddress(index, PEER_PORT),
        controllerNames.indices.filter { it != index }
            .map { Peer(controllerNames[it], controllerAddress(it, PEER_PORT)) },
        Address("10.2.0.1", 1),
        Address("10.2.0.2", 1),
        controllerNames.size,
        teams.associateBy { it.name },
        emptyList(),
        WorkerTimes(1.0, LEASE_S, 10.0, 3.0, cancelS),
        limits,
        2.0,
        3.0,
        1000,
        zones = machineZones.size,
    )

    private fun controllerAddress(index: Int, port: Int) = Address("10.0.0.${index + 1}", port)

    /** Starts the process of controller [index]. */
    fun boot(index: Int) = controllers[index].boot()

    /** Kills the process of controller [index]; a new process starts after [downS]. */
    fun kill(index: Int, downS: Double) = controllers[index].kill(downS)

    /** Pauses the process of controller [index] for [durationS]. */
    fun freeze(index: Int, durationS: Double) = controllers[index].freeze(durationS)

    /** Sends a drain order to controller [index]; [done] is not called if its process ends before it answers. */
    fun order(index: Int, order: DrainOrder, done: (OrderResult<DrainRecord>) -> Unit) = controllers[index].order(order, done)

    /** Sends a user's request to controller [index]; [done] gets null if it times out. */
    fun sendUserRequest(index: Int, method: String, path: String, body: ByteArray, done: (Response?) -> Unit) {
        val link = SimLink(loop).apply { cut = network.isInPartitionedZone(index) }
        requests.send(index, SimRequest(method, path, body, USER_TIMEOUT_MS), link, done)
    }

    /** Registers a job that a user is going to submit, and returns its specification. */
    fun job(spec: JobSpec): JobSpec {
        specs[spec.id] = spec
        invariants.submitted(spec)
        return spec
    }

    /** Checks the invariants periodically from now on. Those that hold only without faults start after [faultsEndS]. */
    fun checkInvariantsPeriodically(faultsEndS: Double) {
        store.expire()
        cloud.recordSnapshot()
        detectNewLeader()
        invariants.checkCancelled(loop.nowS)
        if (loop.nowS > faultsEndS) {
            invariants.checkAnswered(loop.nowS)
            val healthyMachines = cloud.healthyMachines()
            invariants.checkWaiting(loop.nowS, healthyMachines)
            invariants.checkProvisioning(loop.nowS, healthyMachines, cloud.rentableMachines())
        }
        loop.after(CHECK_INTERVAL_NS) { checkInvariantsPeriodically(faultsEndS) }
    }

    private fun detectNewLeader() {
        val version = store.version(StoreKeys.LEADER)
        if (version == leaderVersion || version == 0L) return
        leaderVersion = version
        leaderChanges++
        heartbeats.deliverToNewLeader()
    }

    companion object {
        const val CANCEL_S = 20.0
        const val LEASE_S = 6.0
        private const val SERVE_PORT = 1
        private const val PEER_PORT = 2
        private const val USER_TIMEOUT_MS = 2_000L
        private const val CHECK_INTERVAL_NS = 200 * SimLoop.MS
    }
}
