package flaxfield.fleet

import flaxfield.codec.Cbor
import flaxfield.codec.FieldMap
import flaxfield.codec.MalformedException
import flaxfield.net.HttpTransport

sealed interface RentalResponse {
    data class Granted(val names: List<String>) : RentalResponse

    data object NoCapacity : RentalResponse

    data object Malformed : RentalResponse

    /** No answer or trouble: the same name is asked again. */
    data object Unclear : RentalResponse
}

data class ListedMachine(val machineName: String, val failed: Boolean)

data class ListPage(val hosts: List<ListedMachine>, val more: Boolean)

/** Speaks the cloud's protocol. Callbacks run on the event loop. */
class CloudClient(private val http: HttpTransport, private val timeoutMs: Long) {
    fun machineTypes(done: (Map<String, MachineType>?) -> Unit) {
        http.send("GET", "/flavors", null, timeoutMs) { a ->
            done(guard(null) { if (a?.status == OK) FleetCodec.machineTypes(Cbor.decode(a.body)) else null })
        }
    }

    fun rent(h: Rental, done: (RentalResponse) -> Unit) {
        val body = Cbor.encode(
            mapOf(
                "hire" to h.name,
                "flavor" to h.machineType,
                "site" to h.zone,
                "lendable" to h.preemptible,
                "how_many" to h.count,
            ),
        )
        http.send("POST", "/machines", body, timeoutMs) { a ->
            done(
                guard(RentalResponse.Unclear) {
                    when (a?.status) {
                        OK -> RentalResponse.Granted(Cbor.decode(a.body).textList("hosts").orEmpty())
                        UNAVAILABLE -> if (noCapacity(
                                Cbor.decode(a.body),
                            )
                        ) {
                            RentalResponse.NoCapacity
                        } else {
                            RentalResponse.Unclear
                        }
                        BAD -> RentalResponse.Malformed
                        else -> RentalResponse.Unclear
                    }
                },
            )
        }
    }

    /** True once the machines and all that was on them are gone. */
    fun giveBack(hosts: List<String>, done: (Boolean) -> Unit) {
        http.send("POST", "/machines/return", Cbor.encode(mapOf("hosts" to hosts)), timeoutMs) {
            done(it?.status == OK)
        }
    }

    fun list(from: String?, done: (ListPage?) -> Unit) {
        val start = if (from == null) "" else "from=$from&"
        http.send("GET", "/machines?${start}limit=$PAGE", null, timeoutMs) { a ->
            done(
                guard(null) {
                    if (a?.status != OK) return@guard null
                    val o = Cbor.decode(a.body)
                    ListPage(
                        o.mapList("hosts").map { ListedMachine(it.requireText("id"), it.text("phase") == "failed") },
                        o.boolean("more") ?: false,
                    )
                },
            )
        }
    }

    private fun noCapacity(o: FieldMap) = o.text("error")?.contains("capacity") ?: false

    private fun <T> guard(otherwise: T, read: () -> T): T = try {
        read()
    } catch (e: MalformedException) {
        otherwise
    }

    private companion object {
        const val OK = 200
        const val BAD = 400
        const val UNAVAILABLE = 503
        const val PAGE = 500
    }
}
