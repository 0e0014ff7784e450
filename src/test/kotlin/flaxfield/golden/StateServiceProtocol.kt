package flaxfield.golden

import flaxfield.golden.GoldenCases.textOnly
import flaxfield.net.HttpTransport
import flaxfield.store.Change
import flaxfield.store.KeyUpdate
import flaxfield.store.LeaseGrantResult
import flaxfield.store.ListResult
import flaxfield.store.ReadResult
import flaxfield.store.StoreClient
import flaxfield.store.Transaction
import flaxfield.store.TransactionOutcome
import flaxfield.store.WatchResult
import org.junit.jupiter.api.Assertions.assertEquals

/** Requests to the state service, and its answers. */
object StateServiceProtocol {
    private const val OK = 200
    private const val ABSENT = 404
    private const val CONFLICT = 409
    private const val GONE = 410
    private const val LIMITED = 429
    private val large = StoredSamples.LARGE_COUNT
    private val value = mapOf("a" to 1L, "b" to "text")

    private val txn = Transaction(
        linkedMapOf("live/assignment" to large, "live/job/job-1" to 0uL),
        listOf(
            Change.Put("live/job/job-1", value),
            Change.Put("live/member/n-0", value, lease = large),
            Change.Delete("live/part/job-1/2"),
        ),
    )

    private val requests = listOf(
        request("txn") { it.txn(txn) {} },
        request("get") { it.get("live/job/job-1") {} },
        request("present") { it.existingKeys(listOf("over/job-1", "over/job-2")) {} },
        request("list") { it.list("live/", null, 500) {} },
        request("list-from") { it.list("live/", "live/job/ü 1", 500) {} },
        request("follow") { it.watch("live/", large, 20_000) {} },
        request("lease") { it.grantLease(8_000) {} },
        request("lease-extend") { it.renewLease(large) {} },
        request("lease-release") { it.revokeLease(large) {} },
    )

    private fun request(name: String, send: (StoreClient) -> Unit) = textOnly("request-$name.txt") {
        val calls = RecordingCalls()
        val watch = RecordingCalls()
        send(StoreClient(calls, watch, ControllerSample.TIMEOUT_MS))
        calls.text + (if (watch.text.isEmpty()) "" else "on the connection for watches\n" + watch.text)
    }

    private val items = listOf(mapOf("k" to "live/a", "value" to value, "stamp" to large))

    private val news = listOf(
        mapOf("write" to "live/a", "value" to value, "stamp" to large),
        mapOf("drop" to "live/b", "stamp" to 3),
    )

    private val answers = listOf(
        answer("committed", OK, mapOf("ledger" to large), TransactionOutcome.Committed(large)) { client, done ->
            client.txn(txn, done)
        },
        answer(
            "conflict",
            CONFLICT,
            mapOf("failed" to listOf("live/a"), "ledger" to 9),
            TransactionOutcome.Conflict(listOf("live/a"), 9uL),
        ) {
                client,
                done,
            ->
            client.txn(txn, done)
        },
        answer("refused", LIMITED, emptyMap(), TransactionOutcome.Refused(LIMITED)) { client, done ->
            client.txn(txn, done)
        },
        answer("absent", ABSENT, mapOf("ledger" to 9), ReadResult.Absent(9uL)) { client, done ->
            client.get("over/job-1", done)
        },
        answer("found", OK, mapOf("value" to value), value) { client, done ->
            client.get("over/job-1") { done((it as ReadResult.Found).value.map) }
        },
        answer(
            "page",
            OK,
            mapOf("items" to items, "more" to true, "ledger" to 9),
            ListResult.Page(listOf(item("live/a")), true, 9uL),
        ) {
                client,
                done,
            ->
            client.list("live/", null, 500) { done(it) }
        },
        answer(
            "news",
            OK,
            mapOf("ledger" to 9, "news" to news),
            WatchResult.Changes(9uL, listOf(item("live/a"), KeyUpdate("live/b", null, 3uL))),
        ) {
                c,
                done,
            ->
            c.watch("live/", 1uL, 1) { done(it) }
        },
        answer("too-old", GONE, emptyMap(), WatchResult.Compacted) { client, done ->
            client.watch("live/", 1uL, 1) { done(it) }
        },
        answer("lease", OK, mapOf("tether" to large), LeaseGrantResult.Granted(large)) { client, done ->
            client.grantLease(1, done)
        },
    )

    private fun item(key: String) = KeyUpdate(key, flaxfield.codec.FieldMap(value), large)

    private fun answer(name: String, status: Int, wire: Map<String, Any?>, expected: Any, ask: (StoreClient, (Any?) -> Unit) -> Unit) =
        GoldenCase("answer-$name.decode-only.hex", { cborHex(wire) }) { fixture ->
            val calls: HttpTransport = RecordingCalls.answering(status, HexText.bytes(fixture))
            var read: Any? = null
            ask(StoreClient(calls, calls, ControllerSample.TIMEOUT_MS)) { read = it }
            assertEquals(expected, read)
        }

    val suite = GoldenSuite("state", requests + answers)
}
