package flaxfield.golden

import flaxfield.codec.FieldMap
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

/** The requests to the state service and its responses. */
object StateServiceProtocol {
    private const val OK = 200
    private const val NOT_FOUND = 404
    private const val CONFLICT = 409
    private const val GONE = 410
    private const val TOO_MANY_REQUESTS = 429
    private val largeCount = StoredSamples.LARGE_COUNT
    private val value = mapOf("a" to 1L, "b" to "text")

    private val txn = Transaction(
        linkedMapOf("live/assignment" to largeCount, "live/job/job-1" to 0uL),
        listOf(
            Change.Put("live/job/job-1", value),
            Change.Put("live/member/n-0", value, lease = largeCount),
            Change.Delete("live/part/job-1/2"),
        ),
    )

    private val requests = listOf(
        request("txn") { it.txn(txn) {} },
        request("get") { it.get("live/job/job-1") {} },
        request("existing-keys") { it.existingKeys(listOf("over/job-1", "over/job-2")) {} },
        request("list") { it.list("live/", null, 500) {} },
        request("list-from") { it.list("live/", "live/job/ü 1", 500) {} },
        request("watch") { it.watch("live/", largeCount, 20_000) {} },
        request("lease-grant") { it.grantLease(8_000) {} },
        request("lease-renew") { it.renewLease(largeCount) {} },
        request("lease-revoke") { it.revokeLease(largeCount) {} },
    )

    private fun request(name: String, send: (StoreClient) -> Unit) = textOnly("request-$name.txt") {
        val transport = RecordingTransport()
        val watchTransport = RecordingTransport()
        send(StoreClient(transport, watchTransport, SampleController.TIMEOUT_MS))
        transport.text + (if (watchTransport.text.isEmpty()) "" else "on the connection for watches\n" + watchTransport.text)
    }

    private val items = listOf(mapOf("k" to "live/a", "value" to value, "stamp" to largeCount))

    private val changes = listOf(
        mapOf("write" to "live/a", "value" to value, "stamp" to largeCount),
        mapOf("drop" to "live/b", "stamp" to 3),
    )

    private val responses = listOf(
        response("committed", OK, mapOf("ledger" to largeCount), TransactionOutcome.Committed(largeCount)) { client, done ->
            client.txn(txn, done)
        },
        response(
            "conflict",
            CONFLICT,
            mapOf("failed" to listOf("live/a"), "ledger" to 9),
            TransactionOutcome.Conflict(listOf("live/a"), 9uL),
        ) { client, done ->
            client.txn(txn, done)
        },
        response("rate-limited", TOO_MANY_REQUESTS, emptyMap(), TransactionOutcome.Refused(TOO_MANY_REQUESTS)) { client, done ->
            client.txn(txn, done)
        },
        response("absent", NOT_FOUND, mapOf("ledger" to 9), ReadResult.Absent(9uL)) { client, done ->
            client.get("over/job-1", done)
        },
        response("found", OK, mapOf("value" to value), value) { client, done ->
            client.get("over/job-1") { done((it as ReadResult.Found).value.map) }
        },
        response(
            "page",
            OK,
            mapOf("items" to items, "more" to true, "ledger" to 9),
            ListResult.Page(listOf(item("live/a")), true, 9uL),
        ) { client, done ->
            client.list("live/", null, 500) { done(it) }
        },
        response(
            "changes",
            OK,
            mapOf("ledger" to 9, "news" to changes),
            WatchResult.Changes(9uL, listOf(item("live/a"), KeyUpdate("live/b", null, 3uL))),
        ) { client, done ->
            client.watch("live/", 1uL, 1) { done(it) }
        },
        response("compacted", GONE, emptyMap(), WatchResult.Compacted) { client, done ->
            client.watch("live/", 1uL, 1) { done(it) }
        },
        response("lease-granted", OK, mapOf("tether" to largeCount), LeaseGrantResult.Granted(largeCount)) { client, done ->
            client.grantLease(1, done)
        },
    )

    private fun item(key: String) = KeyUpdate(key, FieldMap(value), largeCount)

    private fun response(name: String, status: Int, wire: Map<String, Any?>, expected: Any, call: (StoreClient, (Any?) -> Unit) -> Unit) =
        GoldenCase("response-$name.decode-only.hex", { cborHex(wire) }) { fixture ->
            val transport: HttpTransport = RecordingTransport.responding(status, HexText.bytes(fixture))
            var decoded: Any? = null
            call(StoreClient(transport, transport, SampleController.TIMEOUT_MS)) { decoded = it }
            assertEquals(expected, decoded)
        }

    val suite = GoldenSuite("state", requests + responses)
}
