package flaxfield.fleet

import flaxfield.codec.Cbor
import flaxfield.codec.FieldMap
import flaxfield.codec.MalformedException
import flaxfield.net.HttpStatus
import flaxfield.net.HttpTransport

/** A client of the cloud API. Callbacks run on the event loop, not on the owner thread. */
class CloudClient(private val http: HttpTransport, private val timeoutMs: Long) {
    /** Fetches the machine types by label; passes null to [done] if there is no usable response. */
    fun machineTypes(done: (Map<String, MachineType>?) -> Unit) {
        http.send("GET", "/flavors", null, timeoutMs) { response ->
            done(
                decodeOr(null) {
                    if (response?.status == HttpStatus.OK) FleetCodec.machineTypes(Cbor.decode(response.body)) else null
                },
            )
        }
    }

    /** Sends the request for the machines of [rental]. */
    fun rent(rental: Rental, done: (RentalResponse) -> Unit) {
        val body = Cbor.encode(
            mapOf(
                "hire" to rental.name,
                "flavor" to rental.machineType,
                "site" to rental.zone,
                "lendable" to rental.preemptible,
                "how_many" to rental.count,
            ),
        )
        http.send("POST", "/machines", body, timeoutMs) { response ->
            done(
                decodeOr(RentalResponse.Unknown) {
                    when (response?.status) {
                        HttpStatus.OK -> RentalResponse.Granted(Cbor.decode(response.body).textList("hosts").orEmpty())
                        HttpStatus.SERVICE_UNAVAILABLE -> decodeUnavailable(Cbor.decode(response.body))
                        HttpStatus.BAD_REQUEST -> RentalResponse.Rejected
                        else -> RentalResponse.Unknown
                    }
                },
            )
        }
    }

    private fun decodeUnavailable(fields: FieldMap): RentalResponse {
        val lacksCapacity = fields.text("error")?.contains("capacity") ?: false
        return if (lacksCapacity) RentalResponse.NoCapacity else RentalResponse.Unknown
    }

    /** Returns machines to the cloud; passes true to [done] once they and all tasks on them are terminated. */
    fun returnMachines(machineNames: List<String>, done: (Boolean) -> Unit) {
        http.send("POST", "/machines/return", Cbor.encode(mapOf("hosts" to machineNames)), timeoutMs) {
            done(it?.status == HttpStatus.OK)
        }
    }

    /**
     * Lists the machines after the one named [from], or the first ones if it is null. Passes null to [done] if there is
     * no usable response.
     */
    fun listMachines(from: String?, done: (MachineListPage?) -> Unit) {
        val start = if (from == null) "" else "from=$from&"
        http.send("GET", "/machines?${start}limit=$PAGE_SIZE", null, timeoutMs) { response ->
            done(
                decodeOr(null) {
                    if (response?.status == HttpStatus.OK) decodePage(Cbor.decode(response.body)) else null
                },
            )
        }
    }

    private fun decodePage(fields: FieldMap) = MachineListPage(
        fields.mapList("hosts").map { ListedMachine(it.requireText("id"), it.text("phase") == FAILED_PHASE) },
        fields.boolean("more") ?: false,
    )

    /** Returns the result of [decode], or [fallback] if the body violates the protocol. */
    private fun <T> decodeOr(fallback: T, decode: () -> T): T = try {
        decode()
    } catch (_: MalformedException) {
        // An unreadable response is handled like a missing one: the request is repeated.
        fallback
    }

    private companion object {
        const val PAGE_SIZE = 500

        /** The listed phase of a machine that terminated on its own, without being returned. */
        const val FAILED_PHASE = "failed"
    }
}
