package flaxfield.sim

import flaxfield.codec.Cbor
import flaxfield.codec.FieldMap
import flaxfield.jobs.Resources
import flaxfield.net.Response

/**
 * Simulates the cloud: rents machines of one type and takes them back, limits the request rate, and lists its machines
 * as they were [lagS] ago.
 *
 * @property capacity the number of on-demand machines by zone; each zone has as many preemptible ones
 * @property createWorker creates the worker of a new machine; the cloud starts it when the machine has booted
 */
class SimCloud(
    private val loop: SimLoop,
    private val capacity: Map<String, Int>,
    private val lagS: Double,
    private val createWorker: (SimMachine) -> SimWorker,
) {
    /** The machine list at [atS], in its wire format. */
    private class Snapshot(val atS: Double, val machines: List<Map<String, Any?>>)

    /** The workers of all rented machines, by machine name. */
    val workers = LinkedHashMap<String, SimWorker>()
    private val machineTypes = listOf(
        mapOf(
            "label" to MACHINE_TYPE,
            "vcpus" to MACHINE_RESOURCES.cpus,
            "accelerators" to MACHINE_RESOURCES.gpus,
            "ram_gb" to MACHINE_RESOURCES.memoryGb,
            "local_gb" to 100.0,
            "pull_gb_per_s" to 4.0,
            "rate" to 8.0,
            "low_price" to 3.0,
            "ready_s" to 4.0,
            "sites" to capacity.keys.sorted(),
        ),
    )

    /** The machines of each rental, by its idempotency key. */
    private val rentals = HashMap<String, List<String>>()
    private val snapshots = ArrayList<Snapshot>()

    /** The reduced capacities by zone, and by whether the machines are preemptible. */
    private val limits = HashMap<Pair<String, Boolean>, Int>()

    /** The number of machines rented so far. */
    var machinesRented = 0
        private set

    /** Called with the worker of each new machine, before it boots. */
    var onRented: (SimWorker) -> Unit = {}

    /** Called with the machines of each return request, in the order of the request, before they are terminated. */
    var onReturn: (List<SimMachine>) -> Unit = {}

    /** The factor by which boot times are multiplied. */
    var bootFactor = 1.0

    /** The probability that a new machine never boots. */
    var bootFailureRate = 0.0

    /** The number of requests rejected by the rate limit. */
    var rejectedCount = 0
        private set

    /** The number of all requests, including rejected ones. */
    var requestCount = 0
        private set
    private val requestRate = SimRateLimit(loop, RPS, RPS * BURST_S)

    /** Returns the machines that are up and healthy. */
    fun healthyMachines(): List<HealthyMachine> = workers.values.mapNotNull { it.healthyMachine() }

    /** Returns the machines that could still be rented, as if they were up. */
    fun rentableMachines(): List<HealthyMachine> = capacity.keys.flatMap { zone ->
        listOf(true, false).flatMap { preemptible ->
            val machine = SimMachine("", MACHINE_TYPE, zone, preemptible)
            List(maxOf(0, availableMachines(machine))) { HealthyMachine(machine, MACHINE_RESOURCES) }
        }
    }

    /** Limits the machines of a zone and kind to [machines] from now on; those that are rented already stay. */
    fun limitCapacity(zone: String, preemptible: Boolean, machines: Int) {
        limits[zone to preemptible] = machines
    }

    private fun availableMachines(machineSpec: SimMachine): Int {
        val rentedCount = workers.values.count { it.machine.copy(machineName = "") == machineSpec }
        val limit = limits[machineSpec.zone to machineSpec.preemptible] ?: capacity[machineSpec.zone] ?: 0
        return limit - rentedCount
    }

    fun serve(method: String, target: String, body: ByteArray, answer: (Response) -> Unit) {
        requestCount++
        if (!requestRate.tryTake(1)) {
            rejectedCount++
            return answer(response(TOO_MANY_REQUESTS, emptyMap()))
        }
        when {
            target == "/flavors" -> answer(response(OK, mapOf("flavors" to machineTypes)))
            target == "/machines" && method == "POST" -> answer(rent(Cbor.decode(body)))
            target == "/machines/return" -> answer(returnMachines(Cbor.decode(body).textList("hosts").orEmpty()))
            else -> {
                recordSnapshot()
                answer(list(target))
            }
        }
    }

    private fun rent(request: FieldMap): Response {
        val rental = request.requireText("hire")
        rentals[rental]?.let { return response(OK, mapOf("hosts" to it)) }
        val machineSpec = SimMachine(
            "",
            request.requireText("flavor"),
            request.requireText("site"),
            request.requireBoolean("lendable"),
        )
        val count = minOf(request.requireInt("how_many"), availableMachines(machineSpec))
        if (count <= 0) return response(UNAVAILABLE, mapOf("error" to "no capacity"))
        val names = (0 until count).map { "host-%06d".format(machinesRented++) }
        for (name in names) boot(machineSpec.copy(machineName = name))
        rentals[rental] = names
        return response(OK, mapOf("hosts" to names))
    }

    private fun boot(machine: SimMachine) {
        val worker = createWorker(machine)
        workers[machine.machineName] = worker
        onRented(worker)
        if (bootFailureRate > 0 && loop.random.nextDouble() < bootFailureRate) return
        val bootS = loop.random.nextDouble(MIN_BOOT_S, MAX_BOOT_S) * bootFactor
        loop.after((bootS * SimLoop.SECOND).toLong()) { if (!worker.terminated) worker.start() }
    }

    private fun returnMachines(names: List<String>): Response {
        onReturn(names.mapNotNull { workers[it]?.machine })
        for (name in names) workers.remove(name)?.terminate()
        return response(OK, emptyMap())
    }

    private fun list(target: String): Response {
        val query = parseQuery(target)
        val from = query["from"].orEmpty()
        val visible = snapshots.lastOrNull { it.atS <= loop.nowS - lagS }?.machines.orEmpty()
        val after = visible.filter { it.getValue("id").toString() > from }.sortedBy { it.getValue("id").toString() }
        val limit = (query["limit"]?.toInt() ?: PAGE_SIZE).coerceAtMost(PAGE_SIZE)
        return response(OK, mapOf("hosts" to after.take(limit), "more" to (after.size > limit)))
    }

    /** Records the current machines for later list requests; called by list requests and periodically. */
    fun recordSnapshot() {
        snapshots += Snapshot(
            loop.nowS,
            workers.values.map { mapOf("id" to it.machine.machineName, "phase" to "running", "held_s" to 1.0) },
        )
        if (snapshots.size > MAX_SNAPSHOTS) snapshots.removeAt(0)
    }

    private fun response(status: Int, body: Map<String, Any?>) = Response(status, Cbor.encode(body))

    companion object {
        private const val MACHINE_TYPE = "big"
        private const val MAX_SNAPSHOTS = 500

        /** The rate limit of the cloud, in requests per second. */
        const val RPS = 2.0

        /** The burst that the rate limit allows, in seconds' worth of requests. */
        private const val BURST_S = 2
        private const val PAGE_SIZE = 500
        private const val MIN_BOOT_S = 1.0
        private const val MAX_BOOT_S = 6.0
        private const val OK = 200
        private const val TOO_MANY_REQUESTS = 429
        private const val UNAVAILABLE = 503
        val MACHINE_RESOURCES = Resources(16.0, 4.0, 64.0)
    }
}
