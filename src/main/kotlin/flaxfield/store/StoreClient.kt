package flaxfield.store

import flaxfield.codec.MalformedException
import flaxfield.codec.Obj
import flaxfield.codec.Wire
import flaxfield.net.Answer
import flaxfield.net.Calls
import java.net.URLEncoder

/** One change in a transaction. */
sealed interface Change {
    val key: String

    data class Put(override val key: String, val value: Map<String, Any?>, val lease: ULong? = null) : Change

    data class Drop(override val key: String) : Change
}

/** A conditional transaction: all of [changes], or nothing, if every key has the given version (0: absent). */
data class Txn(val conditions: Map<String, ULong>, val changes: List<Change>)

/** What became of a transaction. */
sealed interface Outcome {
    data class Committed(val revision: ULong) : Outcome

    /** A condition failed: nothing was changed. */
    data class Conflict(val failed: List<String>, val revision: ULong) : Outcome

    /** Not executed: refused, over the limit, or no such lease. */
    data class Refused(val status: Int) : Outcome

    /** No answer: it may have been executed, or may be later. Its conditions decide. */
    data object Unknown : Outcome
}

/** A key as listed or as a watch tells it; a null value means it was dropped. */
data class Item(val key: String, val value: Obj?, val version: ULong)

sealed interface Watched {
    data class News(val revision: ULong, val items: List<Item>) : Watched

    data object TooOld : Watched

    data class Failed(val status: Int) : Watched
}

data class Page(val items: List<Item>, val more: Boolean, val revision: ULong)

sealed interface Read {
    data class Found(val value: Obj) : Read

    data class Absent(val revision: ULong) : Read

    data object Failed : Read
}

/** Speaks the state service's protocol. Callbacks run on the event loop. */
class StoreClient(private val calls: Calls, private val watch: Calls, private val timeoutMs: Long) {
    fun txn(txn: Txn, done: (Outcome) -> Unit) {
        val body = Wire.encode(
            mapOf(
                "when" to txn.conditions.map { (k, v) -> mapOf("k" to k, "stamp" to v) },
                "apply" to txn.changes.map(::change),
            ),
        )
        calls.send("POST", "/txn", body, timeoutMs) { done(outcome(it)) }
    }

    fun get(key: String, done: (Read) -> Unit) {
        calls.send("GET", "/keys/$key", null, timeoutMs) { a ->
            done(
                guard(Read.Failed) {
                    when (a?.status) {
                        OK -> Read.Found(Wire.decode(a.body).needObj("value"))
                        NOT_FOUND -> Read.Absent(Wire.decode(a.body).needCount("ledger"))
                        else -> Read.Failed
                    }
                },
            )
        }
    }

    /** Which of [keys] exist, by a transaction that only compares; null without an answer. */
    fun present(keys: List<String>, done: (Set<String>?) -> Unit) =
        txn(Txn(keys.associateWith { 0uL }, emptyList())) { o ->
            done(
                when (o) {
                    is Outcome.Committed -> emptySet()
                    is Outcome.Conflict -> o.failed.toSet()
                    else -> null
                },
            )
        }

    fun list(under: String, from: String?, limit: Int, done: (Page?) -> Unit) {
        val start = if (from == null) "" else "&from=" + enc(from)
        calls.send("GET", "/keys?under=${enc(under)}$start&limit=$limit", null, timeoutMs * 2) { a ->
            done(
                guard(null) {
                    if (a?.status != OK) return@guard null
                    val o = Wire.decode(a.body)
                    Page(
                        o.objs("items").map { Item(it.needText("k"), it.needObj("value"), it.needCount("stamp")) },
                        o.flag("more") ?: false,
                        o.needCount("ledger"),
                    )
                },
            )
        }
    }

    /** Opens one watch; it answers when something changed after [from] or after [blockMs]. */
    fun follow(under: String, from: ULong, blockMs: Long, done: (Watched) -> Unit) {
        val path = "/follow?under=${enc(under)}&from=$from&block_ms=$blockMs"
        watch.send("GET", path, null, blockMs + timeoutMs) { a ->
            done(
                guard(Watched.Failed(0)) {
                    when (a?.status) {
                        OK -> news(Wire.decode(a.body))
                        GONE -> Watched.TooOld
                        else -> Watched.Failed(a?.status ?: 0)
                    }
                },
            )
        }
    }

    /** Asks for a new lease; null if that failed. */
    fun lease(ttlMs: Long, done: (ULong?) -> Unit) {
        calls.send("POST", "/leases", Wire.encode(mapOf("ttl_ms" to ttlMs)), timeoutMs) { a ->
            done(guard(null) { if (a?.status == OK) Wire.decode(a.body).needCount("tether") else null })
        }
    }

    /** Renews a lease: the answer's status, or 0 without one. 404 says that it has ended. */
    fun extend(lease: ULong, done: (Int) -> Unit) {
        calls.send("POST", "/leases/$lease/extend", Wire.encode(emptyMap()), timeoutMs) { done(it?.status ?: 0) }
    }

    /** Ends a lease; [done] once that is answered, or given up on. */
    fun release(lease: ULong, done: () -> Unit) {
        calls.send("DELETE", "/leases/$lease", null, timeoutMs) { done() }
    }

    private fun news(o: Obj): Watched.News = Watched.News(
        o.needCount("ledger"),
        o.objs("news").map { n ->
            val put = n.text("write")
            if (put != null) {
                Item(put, n.needObj("value"), n.needCount("stamp"))
            } else {
                Item(n.needText("drop"), null, n.needCount("stamp"))
            }
        },
    )

    private fun change(c: Change): Map<String, Any?> = when (c) {
        is Change.Put -> buildMap {
            put("write", c.key)
            put("value", c.value)
            if (c.lease != null) put("tether", c.lease)
        }
        is Change.Drop -> mapOf("drop" to c.key)
    }

    private fun outcome(a: Answer?): Outcome = guard(Outcome.Unknown) {
        when (a?.status) {
            null -> Outcome.Unknown
            OK -> Outcome.Committed(Wire.decode(a.body).needCount("ledger"))
            CONFLICT -> Wire.decode(a.body).let {
                Outcome.Conflict(it.texts("failed").orEmpty(), it.needCount("ledger"))
            }
            else -> Outcome.Refused(a.status)
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
