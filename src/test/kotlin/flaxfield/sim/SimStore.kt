package flaxfield.sim

import flaxfield.codec.Cbor
import flaxfield.codec.FieldMap
import flaxfield.net.Response
import flaxfield.settings.StateLimits
import flaxfield.store.TransactionSize
import java.util.TreeMap

/**
 * Simulates the state service: keys, conditional transactions, leases and watches, subject to [limits]. Controllers are
 * identified by their index.
 */
class SimStore(private val loop: SimLoop, private val limits: StateLimits) {
    private class Entry(val value: Any?, val version: Long, val lease: Long?)

    private class Change(val key: String, val value: Any?, val version: Long)

    private class Lease(val expiresNs: Long, val durationNs: Long)

    private class Watch(val controller: Int, val prefix: String, val fromRevision: Long, val answer: (Response) -> Unit) {
        var answered = false
    }

    /** Descriptions of the transactions that exceeded the limits of the protocol. */
    val violations = ArrayList<String>()

    /** The number of requests rejected by the limits on request and write rates. */
    var rejectedCount = 0
        private set

    /** The number of requests received while the service was available. */
    var requestCount = 0
        private set
    private val requestRate = SimRateLimit(loop, limits.rps, limits.rps)
    private val changeRate = SimRateLimit(loop, limits.writeRps, limits.writeRps)
    private val entries = TreeMap<String, Entry>()
    private val log = ArrayList<Change>()
    private val leases = HashMap<Long, Lease>()
    private val watches = ArrayList<Watch>()
    private var revision = 0L
    private var nextLease = 1L

    /** Called after each transaction that changed something, with the keys it changed. */
    var onCommit: ((Set<String>) -> Unit)? = null

    /** Whether the service is unavailable. When it recovers, all leases are extended to their full duration. */
    var outage = false
        set(value) {
            if (field && !value) for (id in leases.keys.toList()) extend(id)
            field = value
            if (!value) answerWatches()
        }

    /** The controllers whose requests are rejected; their watches are not answered, and their leases expire. */
    private val rejectedControllers = HashSet<Int>()

    /** Rejects all requests of [controller] if [rejected], or else serves them again. */
    fun setRejected(controller: Int, rejected: Boolean) {
        if (rejected) rejectedControllers += controller else rejectedControllers -= controller
        if (!rejected) answerWatches()
    }

    /** Returns the revision of the last change of [key], or 0 if it does not exist. */
    fun version(key: String): Long = entries[key]?.version ?: 0L

    /** Returns a text field of the value of [key], or null if there is none. */
    fun text(key: String, field: String): String? = (entries[key]?.value as? Map<*, *>)?.get(field) as? String

    /** Returns the values of the keys that start with [prefix], by key. */
    fun values(prefix: String): Map<String, Any?> =
        entries.tailMap(prefix).entries.takeWhile { it.key.startsWith(prefix) }.associate { it.key to it.value.value }

    /** Returns the keys that start with [prefix]. */
    fun keysWithPrefix(prefix: String): Set<String> = entries.keys.filterTo(HashSet()) { it.startsWith(prefix) }

    /** Serves a request of [controller]. */
    fun serve(controller: Int, method: String, target: String, body: ByteArray, answer: (Response) -> Unit) {
        expire()
        if (outage || controller in rejectedControllers) return answer(response(UNAVAILABLE))
        requestCount++
        if (!requestRate.tryTake(1)) {
            rejectedCount++
            return answer(response(TOO_MANY_REQUESTS))
        }
        val path = target.substringBefore('?')
        when {
            path == "/txn" -> answer(commit(Cbor.decode(body)))
            path == "/leases" -> answer(grantLease(Cbor.decode(body)))
            path.endsWith("/extend") -> answer(response(if (extend(leaseId(path))) OK else NOT_FOUND))
            method == "DELETE" && path.startsWith("/leases/") -> answer(revokeLease(leaseId(path)))
            path == "/follow" -> watch(controller, parseQuery(target), answer)
            path == "/keys" -> answer(list(parseQuery(target)))
            else -> answer(read(path.removePrefix("/keys/")))
        }
    }

    private fun read(key: String): Response {
        val entry = entries[key] ?: return response(NOT_FOUND, mapOf("ledger" to revision))
        return response(OK, mapOf("value" to entry.value, "stamp" to entry.version))
    }

    private fun list(query: Map<String, String>): Response {
        val prefix = query.getValue("under")
        val after = query["from"]
        val matching = entries.tailMap(after ?: prefix, after == null).entries.takeWhile { it.key.startsWith(prefix) }
        val limit = query.getValue("limit").toInt()
        val items = matching.take(limit).map { (key, entry) ->
            mapOf("k" to key, "value" to entry.value, "stamp" to entry.version)
        }
        return response(OK, mapOf("items" to items, "more" to (matching.size > limit), "ledger" to revision))
    }

    private fun commit(transaction: FieldMap): Response {
        val changes = transaction.mapList("apply")
        val conditions = transaction.mapList("when")
        if (exceedsLimits(transaction, changes.size, conditions.size)) return response(BAD_REQUEST)
        if (!changeRate.tryTake(changes.size)) {
            rejectedCount++
            return response(TOO_MANY_REQUESTS)
        }
        val namedLeases = changes.mapNotNull { it.unsigned("tether")?.toLong() }
        if (namedLeases.any { it !in leases }) return response(BAD_REQUEST, mapOf("error" to "no such lease"))
        val failed = conditions.filter { version(it.requireText("k")) != it.requireUnsigned("stamp").toLong() }
            .map { it.requireText("k") }
        if (failed.isNotEmpty()) return response(CONFLICT, mapOf("failed" to failed, "ledger" to revision))
        if (changes.isNotEmpty()) revision++
        for (change in changes) apply(change)
        answerWatches()
        if (changes.isNotEmpty()) onCommit?.invoke(changes.mapTo(HashSet(), ::changedKey))
        return response(OK, mapOf("ledger" to revision))
    }

    private fun exceedsLimits(transaction: FieldMap, changes: Int, conditions: Int): Boolean {
        val maxValueBytes = transaction.mapList("apply").maxOfOrNull { TransactionSize.jsonBytes(it.map["value"]) } ?: 0
        val transactionBytes = TransactionSize.jsonBytes(transaction.map)
        val exceedsAnyLimit = maxValueBytes > limits.valueKb * KB ||
            transactionBytes > MAX_TRANSACTION_KB * KB ||
            changes > limits.txnOps ||
            conditions > limits.txnOps * CONDITIONS_PER_CHANGE
        if (exceedsAnyLimit) {
            violations +=
                "transaction of $transactionBytes bytes, value of $maxValueBytes bytes, $changes changes, " +
                "$conditions conditions"
        }
        return exceedsAnyLimit
    }

    private fun changedKey(change: FieldMap): String = change.text("write") ?: change.requireText("drop")

    private fun apply(change: FieldMap) {
        val key = changedKey(change)
        if (change.text("write") == null) return delete(key)
        val value = change.map["value"]
        entries[key] = Entry(value, revision, change.unsigned("tether")?.toLong())
        log += Change(key, value, revision)
    }

    private fun delete(key: String) {
        entries.remove(key)
        log += Change(key, null, revision)
    }

    private fun watch(controller: Int, query: Map<String, String>, answer: (Response) -> Unit) {
        val watch = Watch(controller, query.getValue("under"), query.getValue("from").toLong(), answer)
        watches += watch
        loop.after(query.getValue("block_ms").toLong() * SimLoop.MS) {
            if (!outage && controller !in rejectedControllers) answerWatch(watch)
        }
        answerWatches()
    }

    private fun answerWatches() {
        if (outage) return
        val ready = watches.filter { watch ->
            watch.controller !in rejectedControllers && changesAfter(watch.fromRevision).any { it.key.startsWith(watch.prefix) }
        }
        for (watch in ready) answerWatch(watch)
    }

    /** Returns the changes after [fromRevision] by binary search, since the log is in revision order. */
    private fun changesAfter(fromRevision: Long): List<Change> {
        val insertionPoint = -log.binarySearch { if (it.version > fromRevision) 1 else -1 } - 1
        return log.subList(insertionPoint, log.size)
    }

    private fun answerWatch(watch: Watch) {
        if (watch.answered) return
        watch.answered = true
        watches.remove(watch)
        val changes = changesAfter(watch.fromRevision).filter { it.key.startsWith(watch.prefix) }.map {
            if (it.value == null) {
                mapOf("drop" to it.key, "stamp" to it.version)
            } else {
                mapOf("write" to it.key, "value" to it.value, "stamp" to it.version)
            }
        }
        watch.answer(response(OK, mapOf("ledger" to revision, "news" to changes)))
    }

    private fun leaseId(path: String): Long = path.split('/')[2].toLong()

    private fun grantLease(request: FieldMap): Response {
        val durationNs = request.requireInt("ttl_ms") * SimLoop.MS
        leases[nextLease] = Lease(loop.nowNs + durationNs, durationNs)
        return response(OK, mapOf("tether" to nextLease++))
    }

    /** Extends lease [id] to its full duration and returns true, or returns false if it does not exist. */
    private fun extend(id: Long): Boolean {
        val lease = leases[id] ?: return false
        leases[id] = Lease(loop.nowNs + lease.durationNs, lease.durationNs)
        return true
    }

    private fun revokeLease(id: Long): Response {
        leases[id] = Lease(loop.nowNs - 1, 0L)
        expire()
        return response(OK)
    }

    /** Removes expired leases and their keys; called by each request and periodically. */
    fun expire() {
        if (outage) return
        for ((id, lease) in leases.toMap()) {
            if (loop.nowNs <= lease.expiresNs) continue
            leases.remove(id)
            val keys = entries.filter { it.value.lease == id }.keys.toList()
            if (keys.isNotEmpty()) revision++
            for (key in keys) delete(key)
        }
        answerWatches()
    }

    private fun response(status: Int, body: Map<String, Any?> = emptyMap()) = Response(status, Cbor.encode(body))

    private companion object {
        const val KB = 1024
        const val MAX_TRANSACTION_KB = 64
        const val CONDITIONS_PER_CHANGE = 4
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503
    }
}
