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
 * Three controllers against stand-ins of the state service, the cloud, the workers and the users, with up to
 * [machinesPerZone] machines of each kind in each of [machineZones]. All run in the simulated time of [loop].
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
    /** What each controller's fleet file says; null where they run without. */
    private val fleet: ((Int) -> FleetConfig?)? = null,
    /** Where the controllers are. */
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
    private val transports = SimTransports(loop, controllerNames, network, store, cloud, ::controller)
    private val controllers: List<SimController> = controllerNames.indices.map(::createController)

    /** What each controller's share of a core gives. */
    val processors: List<SimProcessor> get() = controllers.map { it.processor }

    /** What the fleet file has switched on in each controller's present process. */
    val fleetControls: List<FleetControl?> get() = controllers.map { it.fleetControl }

    /** Whether users ask all controllers within milliseconds after each change that they are told of. */
    var immediateReads = false

    /** How many times as often as usual users ask; if above 1, they also ask for jobs that nobody submitted. */
    var readLoadFactor = 1

    /** How many leaders there have been. */
    var leaders = 0
        private set
    private var leaderVersion = 0L

    /** The index of the controller that leads now, as the state service has it. */
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

    /** Ends the process of controller [index]; another one starts after [downS]. */
    fun kill(index: Int, downS: Double) = controllers[index].kill(downS)

    /** Lets the process of controller [index] stand still for [durationS]. */
    fun freeze(index: Int, durationS: Double) = controllers[index].freeze(durationS)

    /** An operator's order to controller [index]; [done] gets nothing if that process ends meanwhile. */
    fun order(index: Int, order: DrainOrder, done: (OrderResult<DrainRecord>) -> Unit) = controllers[index].order(order, done)

    /** A user's request to controller [index]; [done] gets null if there is no answer in time. */
    fun user(index: Int, method: String, path: String, body: ByteArray, done: (Response?) -> Unit) {
        val link = SimLink(loop).apply { cut = network.isInCutZone(index) }
        requests.send(index, SimRequest(method, path, body, USER_TIMEOUT_MS), link, done)
    }

    /** Registers a job that a user will submit. */
    fun job(spec: JobSpec): JobSpec {
        specs[spec.id] = spec
        invariants.submitted(spec)
        return spec
    }

    /** Checks the invariants all the time from now on; those that hold without faults only after [faultsEndS]. */
    fun watch(faultsEndS: Double) {
        store.expire()
        cloud.recordMachines()
        noteLeader()
        invariants.checkCancelled(loop.nowS)
        if (loop.nowS > faultsEndS) {
            invariants.checkAnswered(loop.nowS)
            invariants.checkWaiting(loop.nowS, cloud.healthyMachines())
        }
        loop.after(WATCH_INTERVAL_NS) { watch(faultsEndS) }
    }

    private fun noteLeader() {
        val version = store.version(StoreKeys.LEADER)
        if (version == leaderVersion || version == 0L) return
        leaderVersion = version
        leaders++
        heartbeats.deliverToNewLeader()
    }

    companion object {
        const val CANCEL_S = 20.0
        const val LEASE_S = 6.0
        private const val SERVE_PORT = 1
        private const val PEER_PORT = 2
        private const val USER_TIMEOUT_MS = 2_000L
        private const val WATCH_INTERVAL_NS = 200 * SimLoop.MS
    }
}
