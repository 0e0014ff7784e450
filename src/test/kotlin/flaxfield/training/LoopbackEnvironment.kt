package flaxfield.training

import flaxfield.codec.Cbor
import flaxfield.jobs.JobCodec
import flaxfield.jobs.JobSpec
import flaxfield.net.HttpClient
import flaxfield.net.Request
import flaxfield.net.Response
import flaxfield.settings.Address
import flaxfield.settings.StateLimits
import flaxfield.sim.GangRegistry
import flaxfield.sim.HeartbeatSender
import flaxfield.sim.InvariantChecker
import flaxfield.sim.SimCloud
import flaxfield.sim.SimLoop
import flaxfield.sim.SimMachine
import flaxfield.sim.SimStore
import flaxfield.sim.SimWorker
import flaxfield.sim.SimWorkerTimes
import flaxfield.sim.SimWorkload
import java.io.File
import java.net.ServerSocket

/** A controller on loopback: its name, its zone and its ports. */
class LoopbackController(val name: String, val zone: String) {
    val servePort: Int = freePort()
    val peerPort: Int = freePort()
    val operatorPort: Int = freePort()
}

/** Returns a port that is free at the moment. */
fun freePort(): Int = ServerSocket(0).use { it.localPort }

/** The size of a [LoopbackEnvironment]. */
class EnvironmentScale(val machinesPerZone: Int, val teams: List<String> = listOf("red"))

/**
 * The environment of real controllers that run on loopback: a simulated state service and cloud, simulated workers and
 * users.
 */
class LoopbackEnvironment(private val nodes: List<LoopbackController>, private val scale: EnvironmentScale) {
    private val server = SimulationServer()
    private val loop = server.loop
    private val state = SimStore(loop, StateLimits(rps = 150.0, writeRps = 60.0, valueKb = 16.0, txnOps = 24))
    private val invariants = InvariantChecker(emptyMap(), cancelS = 20.0, leaseS = 6.0)
    private val specs = HashMap<String, JobSpec>()
    private val workload = SimWorkload(invariants, specs, GangRegistry())
    private val clients = nodes.associate {
        val address = Address(SimulationServer.LOOPBACK, it.servePort)
        it.name to HttpClient(server.network, server.outbox, address, SimulationServer.MAX_SOCKETS)
    }
    private val port: Int = freePort()

    /** Whether copies of all direct commands and reports arrive again, late. */
    var copiesMessages = false

    /** The number of copies of direct commands that workers have received. */
    var copiedCommands = 0
        private set

    /** The launches in direct commands, which are never sent this way. */
    val directLaunches = ArrayList<String>()
    private val cloud: SimCloud =
        SimCloud(loop, mapOf("a" to scale.machinesPerZone, "b" to scale.machinesPerZone), lagS = 1.0, ::createWorker)

    init {
        cloud.bootFactor = 0.2
    }

    fun start() = server.start(port, ::serve)

    /** Runs [block] on the simulation's thread. */
    fun post(block: () -> Unit) = server.post(block)

    /** Runs [block] on the simulation's thread after [ns] of simulated time. */
    fun after(ns: Long, block: () -> Unit) = loop.after(ns, block)

    fun taskStarts(): Int = server.call { invariants.starts }

    fun violations(): List<String> = server.call { invariants.violations + state.violations }

    /** Starts or ends an outage of the state service for all clients. */
    fun outage(on: Boolean) = server.call { state.outage = on }

    /** The name of the leader, as recorded in the state service. */
    fun leader(): String? = server.call { state.text("live/leader", "name") }

    /** Writes the settings file of [node] and returns it. */
    fun settingsFile(node: LoopbackController): File {
        val others = nodes.filter { it !== node }.joinToString {
            """{"node_name": "${it.name}", "zone": "${it.zone}", "peer_addr": "127.0.0.1:${it.peerPort}"}"""
        }
        val teams = scale.teams.joinToString {
            """{"name": "$it", "cpus": 0.0, "cpus_max": 0.0, "gpus": 4.0, "gpus_max": 2400.0}"""
        }
        val text = checkNotNull(LoopbackEnvironment::class.java.getResource(SETTINGS_RESOURCE)).readText()
            .replace("OTHERS", others)
            .replace("TEAMS", teams)
            .replace("SIZE", nodes.size.toString())
            .replace("NODE", node.name)
            .replace("ZONE", node.zone)
            .replace("SERVE_PORT", node.servePort.toString())
            .replace("PEER_PORT", node.peerPort.toString())
            .replace("OUTSIDE_PORT", port.toString())
        return temporaryFile(text)
    }

    private fun serve(request: Request, respond: (Response) -> Unit) {
        val path = request.path
        when {
            path == "/flavors" || path.startsWith("/machines") -> cloud.serve(request.method, request.target, request.body, respond)
            else -> state.serve(0, request.method, request.target, request.body, respond)
        }
    }

    private fun createWorker(machine: SimMachine): SimWorker {
        val times = SimWorkerTimes(heartbeatIntervalS = 1.0, leaseS = 6.0, gangWaitS = 10.0)
        val names = nodes.map { it.name }
        // Each worker has an address of its own on loopback, as a direct command does not name its machine.
        val host = "127.0.1.${machine.machineName.removePrefix("host-").toInt() + 1}"
        val address = "$host:$port"
        val heartbeats = HeartbeatSender(::sendHeartbeat)
        val worker = SimWorker(
            loop,
            machine,
            SimCloud.MACHINE_RESOURCES,
            workload,
            times,
            names,
            address,
            heartbeats,
        )
        server.bind(host, port) { request, respond -> respond(execute(worker, request.body)) }
        return worker
    }

    private fun execute(worker: SimWorker, body: ByteArray): Response {
        val command = Cbor.decode(body)
        directLaunches += command.mapList("orders").filter { it.text("verb") == "launch" }.map { it.map.toString() }
        if (copiesMessages) {
            loop.after(copyDelayNs()) {
                copiedCommands++
                if (!worker.terminated) worker.execute(command)
            }
        }
        return if (worker.terminated) Response(GONE, ByteArray(0)) else worker.execute(command)
    }

    private fun sendHeartbeat(controller: String, body: ByteArray, done: (Response?) -> Unit) {
        send(controller, "POST", "/hello", body, done)
        if (copiesMessages) loop.after(copyDelayNs()) { send(nodes.random().name, "POST", "/hello", body) { } }
    }

    private fun copyDelayNs(): Long = loop.random.nextLong(SimLoop.SECOND / 10, MAX_COPY_DELAY_NS)

    /** Runs [action] on the simulation's thread with the workers that run tasks. */
    fun onBusyWorkers(action: (List<SimWorker>) -> Unit) = server.call { action(cloud.workers.values.filter { it.hasLiveTasks }) }

    private fun send(node: String, method: String, path: String, body: ByteArray?, done: (Response?) -> Unit) {
        clients.getValue(node).send(method, path, body, TIMEOUT_MS) { response -> server.post { done(response) } }
    }

    /** Submits [spec] as a user, at one node after another until it is accepted, and then calls [accepted]. */
    fun submit(spec: JobSpec, first: Int, accepted: (LoopbackController) -> Unit = {}) {
        specs[spec.id] = spec
        invariants.submitted(spec)
        val node = nodes[first % nodes.size]
        send(node.name, "POST", "/work", Cbor.encode(JobCodec.encodeSpec(spec))) { response ->
            if (response == null || response.status >= 300) {
                loop.after(SimLoop.SECOND) { submit(spec, first + 1, accepted) }
            } else {
                accepted(node)
            }
        }
    }

    /** Sends a user's request to [node] and ignores the response. */
    fun request(node: LoopbackController, method: String, path: String) = send(node.name, method, path, null) { }

    /** Reads job [id] at [node] as a user and checks the invariants on the response, if there is one. */
    fun readJob(node: LoopbackController, id: String) {
        val phaseBefore = invariants.reportedPhase(id)
        send(node.name, "GET", "/work/$id", null) { response -> checkResponse(id, response, phaseBefore) }
    }

    /** Cancels job [id] at [node] as a user and retries each second until the request succeeds. */
    fun cancelJob(node: LoopbackController, id: String) {
        invariants.cancelRequested(id)
        val phaseBefore = invariants.reportedPhase(id)
        send(node.name, "POST", "/work/$id/cancel", null) { response ->
            checkResponse(id, response, phaseBefore)
            if (response?.status != OK) loop.after(SimLoop.SECOND) { cancelJob(node, id) }
        }
    }

    private fun checkResponse(id: String, response: Response?, phaseBefore: String?) {
        if (response?.status == NOT_FOUND) invariants.jobAnswered(id, null, loop.nowS, phaseBefore)
        if (response?.status == OK) {
            invariants.jobAnswered(id, Cbor.decode(response.body).requireText("phase"), loop.nowS, phaseBefore)
        }
    }

    /** The phase in the last response to the user of job [id]; null before the first response. */
    fun reportedPhase(id: String): String? = server.call { invariants.reportedPhase(id) }

    /** The values of all records whose keys start with [prefix], by key. */
    fun records(prefix: String): Map<String, Any?> = server.call { state.values(prefix) }

    companion object {
        private const val TIMEOUT_MS = 4_000L
        private const val OK = 200
        private const val NOT_FOUND = 404
        private const val GONE = 410
        private const val MAX_COPY_DELAY_NS = 10 * SimLoop.SECOND
        private const val SETTINGS_RESOURCE = "/training/settings.json"

        /** Creates a file that contains [text] and is deleted when this process exits. */
        fun temporaryFile(text: String): File = File.createTempFile("flaxfield-loopback", ".json").apply {
            deleteOnExit()
            writeText(text)
        }
    }
}
