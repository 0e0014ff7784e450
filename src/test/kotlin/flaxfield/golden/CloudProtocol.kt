package flaxfield.golden

import flaxfield.fleet.CloudClient
import flaxfield.fleet.ListedMachine
import flaxfield.fleet.MachineListPage
import flaxfield.fleet.RentalResponse
import flaxfield.golden.GoldenCases.textOnly
import org.junit.jupiter.api.Assertions.assertEquals

/** The requests to the cloud API and its responses. */
object CloudProtocol {
    private const val OK = 200
    private const val BAD_REQUEST = 400
    private const val UNAVAILABLE = 503

    private val requests = listOf(
        request("flavors") { it.machineTypes {} },
        request("rent") { it.rent(StoredSamples.rental) {} },
        request("return") { it.returnMachines(listOf("host-1", "host-2")) {} },
        request("list") { it.listMachines(null) {} },
        request("list-from") { it.listMachines("host-7") {} },
    )

    private fun request(name: String, send: (CloudClient) -> Unit) = textOnly("request-$name.txt") {
        RecordingTransport().also { send(CloudClient(it, SampleController.TIMEOUT_MS)) }.text
    }

    private val machineTypes = StoredSamples.machineTypes.associateBy { it.label }
    private val wireTypes = StoredSamples.machineTypes.map {
        mapOf(
            "label" to it.label, "vcpus" to it.capacity.cpus, "accelerators" to it.capacity.gpus, "ram_gb" to it.capacity.memoryGb,
            "local_gb" to it.cacheGb, "pull_gb_per_s" to it.fetchGbPerS, "rate" to it.onDemandPricePerHour,
            "low_price" to it.spotPricePerHour,
            "ready_s" to it.bootTimeS, "sites" to it.zones,
        )
    }
    private val wirePage = mapOf(
        "hosts" to listOf(mapOf("id" to "host-1", "phase" to "ready"), mapOf("id" to "host-2", "phase" to "failed")),
        "more" to true,
    )
    private val decodedPage = MachineListPage(listOf(ListedMachine("host-1", false), ListedMachine("host-2", true)), true)

    private val responses = listOf(
        response("flavors", OK, mapOf("flavors" to wireTypes), machineTypes) { client, done ->
            client.machineTypes { done(it) }
        },
        response(
            "rented",
            OK,
            mapOf("hosts" to listOf("host-1", "host-2")),
            RentalResponse.Granted(listOf("host-1", "host-2")),
            ::rent,
        ),
        response("no-capacity", UNAVAILABLE, mapOf("error" to "no capacity"), RentalResponse.NoCapacity, ::rent),
        response("unavailable", UNAVAILABLE, mapOf("error" to "later"), RentalResponse.Unknown, ::rent),
        response("malformed", BAD_REQUEST, mapOf("error" to "how_many"), RentalResponse.Rejected, ::rent),
        response("listed", OK, wirePage, decodedPage) { client, done -> client.listMachines(null) { done(it) } },
        response("returned", OK, emptyMap(), true) { client, done -> client.returnMachines(listOf("host-1"), done) },
    )

    private fun rent(client: CloudClient, done: (RentalResponse) -> Unit) = client.rent(StoredSamples.rental, done)

    private fun response(name: String, status: Int, wire: Map<String, Any?>, expected: Any, call: (CloudClient, (Any?) -> Unit) -> Unit) =
        GoldenCase("response-$name.decode-only.hex", { cborHex(wire) }) { fixture ->
            var decoded: Any? = null
            val transport = RecordingTransport.responding(status, HexText.bytes(fixture))
            call(CloudClient(transport, SampleController.TIMEOUT_MS)) { decoded = it }
            assertEquals(expected, decoded)
        }

    val suite = GoldenSuite("cloud", requests + responses)
}
