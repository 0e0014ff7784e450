package flaxfield.store

import flaxfield.codec.Cbor
import flaxfield.codec.FieldMap
import java.net.URLEncoder

/** Encodes and decodes the paths and bodies of the store's protocol. Decoders throw MalformedException. */
internal object StoreCodec {
    const val TRANSACTION_PATH = "/txn"
    const val LEASES_PATH = "/leases"

    fun keyPath(key: String): String = "/keys/$key"

    fun listPath(prefix: String, from: String?, limit: Int): String {
        val start = if (from == null) "" else "&from=" + encodeQuery(from)
        return "/keys?under=${encodeQuery(prefix)}$start&limit=$limit"
    }

    fun watchPath(prefix: String, from: ULong, blockMs: Long): String =
        "/follow?under=${encodeQuery(prefix)}&from=$from&block_ms=$blockMs"

    fun leasePath(lease: ULong): String = "$LEASES_PATH/$lease"

    fun leaseRenewalPath(lease: ULong): String = "${leasePath(lease)}/extend"

    fun encodeTransaction(transaction: Transaction): ByteArray = Cbor.encode(
        mapOf(
            "when" to transaction.conditions.map { (key, version) -> mapOf("k" to key, "stamp" to version) },
            "apply" to transaction.changes.map(::encodeChange),
        ),
    )

    private fun encodeChange(change: Change): Map<String, Any?> = when (change) {
        is Change.Put -> buildMap {
            put("write", change.key)
            put("value", change.value)
            if (change.lease != null) put("tether", change.lease)
        }
        is Change.Delete -> mapOf("drop" to change.key)
    }

    fun encodeLeaseRequest(ttlMs: Long): ByteArray = Cbor.encode(mapOf("ttl_ms" to ttlMs))

    fun encodeEmpty(): ByteArray = Cbor.encode(emptyMap())

    fun decodeValue(body: ByteArray): FieldMap = Cbor.decode(body).requireMap("value")

    fun decodeRevision(body: ByteArray): ULong = Cbor.decode(body).requireUnsigned("ledger")

    fun decodeLease(body: ByteArray): ULong = Cbor.decode(body).requireUnsigned("tether")

    fun decodeConflict(body: ByteArray): TransactionOutcome.Conflict {
        val fields = Cbor.decode(body)
        return TransactionOutcome.Conflict(fields.textList("failed").orEmpty(), fields.requireUnsigned("ledger"))
    }

    fun decodePage(body: ByteArray): ListResult.Page {
        val fields = Cbor.decode(body)
        return ListResult.Page(
            fields.mapList("items").map(::decodeItem),
            fields.boolean("more") ?: false,
            fields.requireUnsigned("ledger"),
        )
    }

    private fun decodeItem(item: FieldMap) =
        KeyUpdate(item.requireText("k"), item.requireMap("value"), item.requireUnsigned("stamp"))

    fun decodeChanges(body: ByteArray): WatchResult.Changes {
        val fields = Cbor.decode(body)
        return WatchResult.Changes(fields.requireUnsigned("ledger"), fields.mapList("news").map(::decodeChange))
    }

    private fun decodeChange(change: FieldMap): KeyUpdate {
        val writtenKey = change.text("write")
        return if (writtenKey != null) {
            KeyUpdate(writtenKey, change.requireMap("value"), change.requireUnsigned("stamp"))
        } else {
            KeyUpdate(change.requireText("drop"), null, change.requireUnsigned("stamp"))
        }
    }

    private fun encodeQuery(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)
}
