package flaxfield.store

import flaxfield.codec.Cbor
import flaxfield.codec.FieldMap
import flaxfield.codec.MalformedException
import flaxfield.net.HttpTransport
import flaxfield.net.Response
import java.net.URLEncoder

/** One change in a transaction. */
sealed interface Change {
    val key: String

    data class Put(override val key: String, val value: Map<String, Any?>, val lease: ULong? = null) : Change

    data class Delete(override val key: String) : Change
}

/** A conditional transaction: all of [changes], or nothing, if every key has the given version (0: absent). */
data class Transaction(val conditions: Map<String, ULong>, val changes: List<Change>)

/** What became of a transaction. */
sealed interface TransactionOutcome {
    data class Committed(val revision: ULong) : TransactionOutcome

    /** A condition failed: nothing was changed. */
    data class Conflict(val failed: List<String>, val revision: ULong) : TransactionOutcome

    /** Not executed: refused, over the limit, or no such lease. */
    data class Refused(val status: Int) : TransactionOutcome

    /** No answer: it may have been executed, or may be later. Its conditions decide. */
    data object Unknown : TransactionOutcome
}

/** A key as listed or as a watch tells it; a null value means it was dropped. */
data class KeyUpdate(val key: String, val value: FieldMap?, val version: ULong)

sealed interface WatchResult {
    data class Changes(val revision: ULong, val items: List<KeyUpdate>) : WatchResult

    data object Compacted : WatchResult

    data class Failed(val status: Int) : WatchResult
}

data class KeyPage(val items: List<KeyUpdate>, val more: Boolean, val revision: ULong)

sealed interface ReadResult {
    data class Found(val value: FieldMap) : ReadResult

    data class Absent(val revision: ULong) : ReadResult

    data object Failed : ReadResult
}

/** Speaks the state service's protocol. Callbacks run on the event loop. */
class StoreClient(private val calls: HttpTransport, private val watch: HttpTransport, private val timeoutMs: Long) {
    fun txn(txn: Transaction, done: (TransactionOutcome) -> Unit) {
        val body = Cbor.encode(
            mapOf(
                "when" to txn.conditions.map { (k, v) -> mapOf("k" to k, "stamp" to v) },
                "apply" to txn.changes.map(::change),
            ),
        )
        calls.send("POST", "/txn", body, timeoutMs) { done(outcome(it)) }
    }

    fun get(key: String, done: (ReadResult) -> Unit) {
        calls.send("GET", "/keys/$key", null, timeoutMs) { a ->
            done(
                guard(ReadResult.Failed) {
                    when (a?.status) {
                        OK -> ReadResult.Found(Cbor.decode(a.body).requireMap("value"))
                        NOT_FOUND -> ReadResult.Absent(Cbor.decode(a.body).requireUnsigned("ledger"))
                        else -> ReadResult.Failed
                    }
                },
            )
        }
    }

    /** Which of [keys] exist, by a transaction that only compares; null without an answer. */
    fun existingKeys(keys: List<String>, done: (Set<String>?) -> Unit) =
        txn(Transaction(keys.associateWith { 0uL }, emptyList())) { o ->
            done(
                when (o) {
                    is TransactionOutcome.Committed -> emptySet()
                    is TransactionOutcome.Conflict -> o.failed.toSet()
                    else -> null
                },
            )
        }

    fun list(under: String, from: String?, limit: Int, done: (KeyPage?) -> Unit) {
        val start = if (from == null) "" else "&from=" + enc(from)
        calls.send("GET", "/keys?under=${enc(under)}$start&limit=$limit", null, timeoutMs * 2) { a ->
            done(
                guard(null) {
                    if (a?.status != OK) return@guard null
                    val o = Cbor.decode(a.body)
                    KeyPage(
                        o.mapList("items").map {
                            KeyUpdate(it.requireText("k"), it.requireMap("value"), it.requireUnsigned("stamp"))
                        },
                        o.boolean("more") ?: false,
                        o.requireUnsigned("ledger"),
                    )
                },
            )
        }
    }

    /** Opens one watch; it answers when something changed after [from] or after [blockMs]. */
    fun follow(under: String, from: ULong, blockMs: Long, done: (WatchResult) -> Unit) {
        val path = "/follow?under=${enc(under)}&from=$from&block_ms=$blockMs"
        watch.send("GET", path, null, blockMs + timeoutMs) { a ->
            done(
                guard(WatchResult.Failed(0)) {
                    when (a?.status) {
                        OK -> news(Cbor.decode(a.body))
                        GONE -> WatchResult.Compacted
                        else -> WatchResult.Failed(a?.status ?: 0)
                    }
                },
            )
        }
    }

    /** Asks for a new lease; null if that failed. */
    fun lease(ttlMs: Long, done: (ULong?) -> Unit) {
        calls.send("POST", "/leases", Cbor.encode(mapOf("ttl_ms" to ttlMs)), timeoutMs) { a ->
            done(guard(null) { if (a?.status == OK) Cbor.decode(a.body).requireUnsigned("tether") else null })
        }
    }

    /** Renews a lease: the answer's status, or 0 without one. 404 says that it has ended. */
    fun extend(lease: ULong, done: (Int) -> Unit) {
        calls.send("POST", "/leases/$lease/extend", Cbor.encode(emptyMap()), timeoutMs) { done(it?.status ?: 0) }
    }

    /** Ends a lease; [done] once that is answered, or given up on. */
    fun release(lease: ULong, done: () -> Unit) {
        calls.send("DELETE", "/leases/$lease", null, timeoutMs) { done() }
    }

    private fun news(o: FieldMap): WatchResult.Changes = WatchResult.Changes(
        o.requireUnsigned("ledger"),
        o.mapList("news").map { n ->
            val put = n.text("write")
            if (put != null) {
                KeyUpdate(put, n.requireMap("value"), n.requireUnsigned("stamp"))
            } else {
                KeyUpdate(n.requireText("drop"), null, n.requireUnsigned("stamp"))
            }
        },
    )

    private fun change(c: Change): Map<String, Any?> = when (c) {
        is Change.Put -> buildMap {
            put("write", c.key)
            put("value", c.value)
            if (c.lease != null) put("tether", c.lease)
        }
        is Change.Delete -> mapOf("drop" to c.key)
    }

    private fun outcome(a: Response?): TransactionOutcome = guard(TransactionOutcome.Unknown) {
        when (a?.status) {
            null -> TransactionOutcome.Unknown
            OK -> TransactionOutcome.Committed(Cbor.decode(a.body).requireUnsigned("ledger"))
            CONFLICT -> Cbor.decode(a.body).let {
                TransactionOutcome.Conflict(it.textList("failed").orEmpty(), it.requireUnsigned("ledger"))
            }
            else -> TransactionOutcome.Refused(a.status)
        }
    }

    private fun <T> guard(otherwise: T, read: () -> T): T = try {
        read()
    } catch (e: MalformedException) {
        otherwise
    }

    private fun enc(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val GONE = 410
    }
}
