package flaxfield.training

import flaxfield.Samples
import flaxfield.arrays.MachineHealth
import flaxfield.arrays.MachineStatus
import flaxfield.arrays.ShardSummary
import flaxfield.arrays.ShardSummaryCodec
import flaxfield.codec.Cbor
import flaxfield.fleet.FleetCodec
import flaxfield.fleet.Machine
import flaxfield.fleet.MachineType
import flaxfield.jobs.Job
import flaxfield.jobs.JobCodec
import flaxfield.net.Response
import flaxfield.settings.StateLimits
import flaxfield.sim.SimCloud
import flaxfield.sim.SimStore
import flaxfield.store.StoreKeys

private const val JOBS = 200
private const val TASKS_PER_JOB = 12
private const val MACHINES = 540
private const val MACHINES_PER_PAGE = 34
private const val CHUNK_TASKS = 64

/**
 * Runs a simulated state service with the records of a busy deployment on the given port until the process is killed.
 * `tools/start-cost.sh` uses it to measure the cost of starting a controller, up to the point where it has loaded all
 * records into its view.
 */
fun main(arguments: Array<String>) {
    val port = arguments.single().toInt()
    val server = SimulationServer()
    val state = SimStore(server.loop, StateLimits(rps = 1e6, writeRps = 1e6, valueKb = 64.0, txnOps = 1_000))
    for ((key, value) in records()) write(state, key, value)
    server.start(port) { request, respond -> state.serve(0, request.method, request.target, request.body, respond) }
    System.err.println("state service on $port")
    Thread.sleep(Long.MAX_VALUE)
}

private fun write(state: SimStore, key: String, value: Map<String, Any?>) {
    val transaction = mapOf("when" to emptyList<Any>(), "apply" to listOf(mapOf("write" to key, "value" to value)))
    state.serve(0, "POST", "/txn", Cbor.encode(transaction)) { response: Response ->
        check(response.status == 200) { "writing $key failed with status ${response.status}" }
    }
}

private fun records(): Map<String, Map<String, Any?>> = buildMap {
    val machines = List(MACHINES) { Samples.machine("host-%06d".format(it), zone = if (it % 2 == 0) "a" else "b") }
    put(StoreKeys.MACHINE_TYPES, FleetCodec.encodeMachineTypes(listOf(machineType()), 0))
    for (machine in machines) put(StoreKeys.MACHINE + machine.name, FleetCodec.encode(machine))
    for ((page, pageMachines) in machines.chunked(MACHINES_PER_PAGE).withIndex()) {
        put(StoreKeys.shardSummary("n-0", page), ShardSummaryCodec.encode(summary(pageMachines)))
    }
    for (number in 0 until JOBS) {
        val job = job(number, machines)
        put(StoreKeys.JOB + job.id, JobCodec.encodeHead(job))
    }
}

private fun machineType() = MachineType("big", SimCloud.MACHINE_RESOURCES, 100.0, 1.0, 8.0, 3.0, 30.0, listOf("a", "b"))

private fun summary(machines: List<Machine>) = ShardSummary(
    1uL,
    machines.associate { it.name to MachineStatus(MachineHealth.OK, 1uL, "10.1.0.1:9000", listOf("img-1", "img-2")) },
)

private fun job(number: Int, machines: List<Machine>): Job {
    val spec = Samples.spec(id = "job-%06d".format(number), taskCount = TASKS_PER_JOB)
    val placement = (0 until TASKS_PER_JOB).associateWith {
        Job.Target(machines[(number * TASKS_PER_JOB + it) % MACHINES].name, 1uL)
    }
    return Samples.job(spec, chunkTasks = CHUNK_TASKS).place(placement)
}
