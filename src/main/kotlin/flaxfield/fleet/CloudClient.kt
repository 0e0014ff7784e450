package flaxfield.fleet

import flaxfield.codec.MalformedException
import flaxfield.codec.Obj
import flaxfield.codec.Wire
import flaxfield.net.Calls

sealed interface Rented {
    data class Hosts(val names: List<String>) : Rented

    data object NoCapacity : Rented

    data object Malformed : Rented

    /** No answer or trouble: the same name is asked again. */
    data object Unclear : Rented
}

data class Listed(val host: String, val failed: Boolean)

data class ListPage(val hosts: List<Listed>, val more: Boolean)

/** Speaks the cloud's protocol. Callbacks run on the event loop. */
class CloudClient(private val http: Calls, private val timeoutMs: Long) {
    fun machineTypes(done: (Map<String, MachineType>?) -> Unit) {
        http.send("GET", "/flavors", null, timeoutMs) { a ->
            done(guard(null) { if (a?.status == OK) FleetCodec.machineTypes(Wire.decode(a.body)) else null })
        }
    }

    fun rent(h: Rental, done: (Rented) -> Unit) {
        val body = Wire.encode(
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
                guard(Rented.Unclear) {
                    when (a?.status) {
                        OK -> Rented.Hosts(Wire.decode(a.body).texts("hosts").orEmpty())
                        UNAVAILABLE -> if (noCapacity(Wire.decode(a.body))) Rented.NoCapacity else Rented.Unclear
                        BAD -> Rented.Malformed
                        else -> Rented.Unclear
                    }
                },
            )
        }
    }

    /** True once the machines and all that was on them are gone. */
    fun giveBack(hosts: List<String>, done: (Boolean) -> Unit) {
        http.send("POST", "/machines/return", Wire.encode(mapOf("hosts" to hosts)), timeoutMs) {
            done(it?.status == OK)
        }
    }

    fun list(from: String?, done: (ListPage?) -> Unit) {
        val start = if (from == null) "" else "from=$from&"
        http.send("GET", "/machines?${start}limit=$PAGE", null, timeoutMs) { a ->
            done(
                guard(null) {
                    if (a?.status != OK) return@guard null
                    val o = Wire.decode(a.body)
                    ListPage(
                        o.objs("hosts").map { Listed(it.needText("id"), it.text("phase") == "failed") },
                        o.flag("more") ?: false,
                    )
                },
            )
        }
    }

    private fun noCapacity(o: Obj) = o.text("error")?.contains("capacity") ?: false

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
