package flaxfield.golden

import flaxfield.fleet.CloudClient
import flaxfield.fleet.ListedMachine
import flaxfield.fleet.MachineListPage
import flaxfield.fleet.RentalResponse
import flaxfield.golden.GoldenCases.textOnly
import org.junit.jupiter.api.Assertions.assertEquals

/** Requests to the cloud, and its answers. */
object CloudProtocol {
    private const val OK = 200
    private const val BAD = 400
    private const val UNAVAILABLE = 503

    private val requests = listOf(
        request("flavors") { it.machineTypes {} },
        request("rent") { it.rent(StoredSamples.rental) {} },
        request("return") { it.returnMachines(listOf("host-1", "host-2")) {} },
        request("list") { it.listMachines(null) {} },
        request("list-from") { it.listMachines("host-7") {} },
    )

    private fun request(name: String, send: (CloudClient) -> Unit) = textOnly("request-$name.txt") {
        RecordingCalls().also { send(CloudClient(it, ControllerSample.TIMEOUT_MS)) }.text
    }

    private val machineTypes = StoredSamples.machineTypes.associateBy { it.label }
    private val sentTypes = StoredSamples.machineTypes.map {
        mapOf(
            "label" to it.label, "vcpus" to it.capacity.cpus, "accelerators" to it.capacity.gpus, "ram_gb" to it.capacity.memoryGb,
            "local_gb" to it.cacheGb, "pull_gb_per_s" to it.fetchGbPerS, "rate" to it.onDemandPricePerHour,
            "low_price" to it.spotPricePerHour,
            "ready_s" to it.bootTimeS, "sites" to it.zones,
        )
    }
    private val sentPage = mapOf(
        "hosts" to listOf(mapOf("id" to "host-1", "phase" to "ready"), mapOf("id" to "host-2", "phase" to "failed")),
        "more" to true,
    )
    private val readPage = MachineListPage(listOf(ListedMachine("host-1", false), ListedMachine("host-2", true)), true)

    private val answers = listOf(
        answer("flavors", OK, mapOf("flavors" to sentTypes), machineTypes) { client, done ->
            client.machineTypes { done(it) }
        },
        answer(
            "rented",
            OK,
            mapOf("hosts" to listOf("host-1", "host-2")),
            RentalResponse.Granted(listOf("host-1", "host-2")),
            ::rent,
        ),
        answer("no-capacity", UNAVAILABLE, mapOf("error" to "no capacity"), RentalResponse.NoCapacity, ::rent),
        answer("unavailable", UNAVAILABLE, mapOf("error" to "later"), RentalResponse.Unknown, ::rent),
        answer("malformed", BAD, mapOf("error" to "how_many"), RentalResponse.Rejected, ::rent),
        answer("listed", OK, sentPage, readPage) { client, done -> client.listMachines(null) { done(it) } },
        answer("returned", OK, emptyMap(), true) { client, done -> client.returnMachines(listOf("host-1"), done) },
    )

    private fun rent(client: CloudClient, done: (RentalResponse) -> Unit) = client.rent(StoredSamples.rental, done)

    private fun answer(name: String, status: Int, wire: Map<String, Any?>, expected: Any, ask: (CloudClient, (Any?) -> Unit) -> Unit) =
        GoldenCase("answer-$name.decode-only.hex", { cborHex(wire) }) { fixture ->
            var read: Any? = null
            ask(CloudClient(RecordingCalls.answering(status, HexText.bytes(fixture)), ControllerSample.TIMEOUT_MS)) {
                read =
                    it
            }
            assertEquals(expected, read)
        }

    val suite = GoldenSuite("cloud", requests + answers)
}
