package flaxfield.sim

import flaxfield.codec.Cbor
import flaxfield.codec.FieldMap
import flaxfield.net.Response
import flaxfield.settings.StateLimits
import flaxfield.store.TransactionSize
import java.net.URLDecoder
import java.util.TreeMap

/** A stand-in for the state service: keys, conditional transactions, leases and watches. */
class SimState(private val loop: SimLoop, private val limits: StateLimits) {
    private class Entry(val value: Any?, val version: Long, val lease: Long?)

    private class Change(val key: String, val value: Any?, val version: Long)

    private class Watch(val node: Int, val under: String, val from: Long, val answer: (Response) -> Unit) {
        var over = false
    }

    /** What was asked for beyond the protocol's limits. */
    val broken = ArrayList<String>()

    /** Requests and changes refused for their rate, and all of them. */
    var refused = 0
        private set
    var served = 0
        private set
    private val requests = Rate(limits.rps)
    private val changes = Rate(limits.writeRps)

    private inner class Rate(private val perS: Double) {
        private var tokens = perS
        private var atS = 0.0

        fun take(n: Int): Boolean {
            tokens = minOf(perS, tokens + perS * (loop.nowS - atS))
            atS = loop.nowS
            if (tokens < n) return false
            tokens -= n
            return true
        }
    }

    private val keys = TreeMap<String, Entry>()
    private val log = ArrayList<Change>()
    private val leases = HashMap<Long, Pair<Long, Long>>()
    private val watches = ArrayList<Watch>()
    private var revision = 0L
    private var nextLease = 1L

    /** Nobody is served. Leases have their full time again afterwards. */
    var outage = false
        set(value) {
            if (field && !value) for ((id, l) in leases.toMap()) leases[id] = loop.nowNs + l.second to l.second
            field = value
            if (!value) tell()
        }

    /** Nodes that alone are refused; their watches wait, and their leases run out. */
    private val refusing = HashSet<Int>()

    fun refuse(node: Int, on: Boolean) {
        if (on) refusing += node else refusing -= node
        if (!on) tell()
    }

    fun version(key: String): Long = keys[key]?.version ?: 0L

    fun text(key: String, field: String): String? = (keys[key]?.value as? Map<*, *>)?.get(field) as? String

    fun serve(node: Int, method: String, target: String, body: ByteArray, answer: (Response) -> Unit) {
        expire()
        val path = target.substringBefore('?')
        val query = target.substringAfter('?', "").split('&').filter { it.isNotEmpty() }
            .associate { it.substringBefore('=') to URLDecoder.decode(it.substringAfter('='), Charsets.UTF_8) }
        if (outage || node in refusing) return answer(reply(503, emptyMap()))
        served++
        if (!requests.take(1)) {
            refused++
            return answer(reply(429, emptyMap()))
        }
        when {
            path == "/txn" -> answer(txn(Cbor.decode(body)))
            path == "/leases" -> {
                val ttl = Cbor.decode(body).requireInt("ttl_ms") * SimLoop.MS
                leases[nextLease] = loop.nowNs + ttl to ttl
                answer(reply(200, mapOf("tether" to nextLease++)))
            }
            path.endsWith("/extend") -> {
                val id = path.split('/')[2].toLong()
                val l = leases[id]
                if (l != null) leases[id] = loop.nowNs + l.second to l.second
                answer(reply(if (l == null) 404 else 200, emptyMap()))
            }
            method == "DELETE" && path.startsWith("/leases/") -> {
                leases[path.split('/')[2].toLong()] = loop.nowNs - 1 to 0L
                expire()
                answer(reply(200, emptyMap()))
            }
            path == "/follow" -> {
                val w = Watch(node, query.getValue("under"), query.getValue("from").toLong(), answer)
                watches += w
                loop.after(query.getValue("block_ms").toLong() * SimLoop.MS) {
                    if (!outage &&
                        node !in refusing
                    ) {
                        finish(w)
                    }
                }
                tell()
            }
            path == "/keys" -> answer(list(query))
            else -> {
                val e = keys[path.removePrefix("/keys/")]
                answer(
                    if (e ==
                        null
                    ) {
                        reply(404, mapOf("ledger" to revision))
                    } else {
                        reply(200, mapOf("value" to e.value, "stamp" to e.version))
                    },
                )
            }
        }
    }

    /** Told of the keys of each transaction that changed something, once it has. */
    var onCommit: ((Set<String>) -> Unit)? = null

    /** The values of the keys that begin with [prefix], by key. */
    fun values(prefix: String): Map<String, Any?> =
        keys.tailMap(prefix).entries.takeWhile { it.key.startsWith(prefix) }.associate { it.key to it.value.value }

    /** The keys that begin with [prefix]. */
    fun under(prefix: String): Set<String> = keys.keys.filterTo(HashSet()) { it.startsWith(prefix) }

    private fun txn(o: FieldMap): Response {
        val puts = o.mapList("apply")
        val values = puts.maxOfOrNull { TransactionSize.json(it.map["value"]) } ?: 0
        val whole = TransactionSize.json(o.map)
        if (values > limits.valueKb * KB ||
            whole > TXN_KB * KB ||
            puts.size > limits.txnOps ||
            o.mapList("when").size > limits.txnOps * 4
        ) {
            broken += "value of $values, $whole bytes, ${puts.size} changes, ${o.mapList("when").size} conditions"
            return reply(400, emptyMap())
        }
        if (!changes.take(puts.size)) {
            refused++
            return reply(429, emptyMap())
        }
        if (puts.any { it.unsigned("tether")?.toLong()?.let { l -> l !in leases } ?: false }) {
            return reply(
                400,
                mapOf(
                    "error" to "no such lease",
                ),
            )
        }
        val failed = o.mapList("when").filter {
            (keys[it.requireText("k")]?.version ?: 0L) != it.requireUnsigned("stamp").toLong()
        }.map { it.requireText("k") }
        if (failed.isNotEmpty()) return reply(409, mapOf("failed" to failed, "ledger" to revision))
        if (puts.isNotEmpty()) revision++
        for (p in puts) {
            set(
                p.text("write") ?: p.requireText("drop"),
                p.map["value"],
                p.unsigned("tether")?.toLong(),
                p.text("write") != null,
            )
        }
        tell()
        if (puts.isNotEmpty()) onCommit?.invoke(puts.mapTo(HashSet()) { it.text("write") ?: it.requireText("drop") })
        return reply(200, mapOf("ledger" to revision))
    }

    /** The changes after revision [from]; they are logged in their order. */
    private fun after(from: Long): List<Change> {
        val found = log.binarySearch { if (it.version > from) 1 else -1 }
        return log.subList(-found - 1, log.size)
    }

    private fun set(key: String, value: Any?, lease: Long?, put: Boolean) {
        if (put) keys[key] = Entry(value, revision, lease) else keys.remove(key)
        log += Change(key, if (put) value else null, revision)
    }

    private fun list(query: Map<String, String>): Response {
        val under = query.getValue("under")
        val found = keys.tailMap(query["from"] ?: under, query["from"] == null).entries.takeWhile {
            it.key.startsWith(under)
        }
        val limit = query.getValue("limit").toInt()
        val items = found.take(limit).map { (k, e) -> mapOf("k" to k, "value" to e.value, "stamp" to e.version) }
        return reply(200, mapOf("items" to items, "more" to (found.size > limit), "ledger" to revision))
    }

    private fun tell() {
        if (outage) return
        for (w in watches.filter { w ->
            w.node !in refusing && after(w.from).any { it.key.startsWith(w.under) }
        }) {
            finish(w)
        }
    }

    private fun finish(w: Watch) {
        if (w.over) return
        w.over = true
        watches.remove(w)
        val news = after(w.from).filter { it.key.startsWith(w.under) }.map {
            if (it.value !=
                null
            ) {
                mapOf("write" to it.key, "value" to it.value, "stamp" to it.version)
            } else {
                mapOf("drop" to it.key, "stamp" to it.version)
            }
        }
        w.answer(reply(200, mapOf("ledger" to revision, "news" to news)))
    }

    /** Ends the leases whose time is up; called by requests and by the clock. */
    fun expire() {
        if (outage) return
        for ((id, l) in leases.toMap()) {
            if (loop.nowNs <= l.first) continue
            leases.remove(id)
            val tied = keys.filter { it.value.lease == id }.keys.toList()
            if (tied.isNotEmpty()) revision++
            for (k in tied) set(k, null, null, put = false)
        }
        tell()
    }

    private fun reply(status: Int, map: Map<String, Any?>) = Response(status, Cbor.encode(map))

    private companion object {
        const val KB = 1024
        const val TXN_KB = 64
    }
}
