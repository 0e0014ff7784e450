package flaxfield.store

import flaxfield.codec.MalformedException
import flaxfield.net.HttpStatus
import flaxfield.net.HttpTransport
import flaxfield.net.Response

/**
 * The client of the store, also called the state service. Callbacks run on the event loop. A request that takes longer
 * than [timeoutMs] is reported as failed, or its outcome as unknown.
 *
 * @param calls the transport for everything but watches
 * @param watches the transport for the one watch that is open at a time, so that it never delays other requests
 */
class StoreClient(private val calls: HttpTransport, private val watches: HttpTransport, private val timeoutMs: Long) {
    /** Submits a transaction. Without a response, the outcome is [TransactionOutcome.Unknown]. */
    fun txn(transaction: Transaction, done: (TransactionOutcome) -> Unit) {
        val body = StoreCodec.encodeTransaction(transaction)
        calls.send("POST", StoreCodec.TRANSACTION_PATH, body, timeoutMs) { done(outcome(it)) }
    }

    /** Reads one key. */
    fun get(key: String, done: (ReadResult) -> Unit) {
        calls.send("GET", StoreCodec.keyPath(key), null, timeoutMs) { done(readResult(it)) }
    }

    /** Finds out which of [keys] exist, with a transaction that has only conditions; passes null if it fails. */
    fun existingKeys(keys: List<String>, done: (Set<String>?) -> Unit) =
        txn(Transaction(keys.associateWith { ABSENT }, emptyList())) { outcome ->
            done(
                when (outcome) {
                    is TransactionOutcome.Committed -> emptySet()
                    is TransactionOutcome.Conflict -> outcome.failed.toSet()
                    else -> null
                },
            )
        }

    /** Lists up to [limit] keys that begin with [prefix]; if [from] is given, only the keys after it. */
    fun list(prefix: String, from: String?, limit: Int, done: (ListResult) -> Unit) {
        val path = StoreCodec.listPath(prefix, from, limit)
        calls.send("GET", path, null, timeoutMs * LIST_TIMEOUT_FACTOR) { done(listResult(it)) }
    }

    /** Opens a watch, which returns once a key under [prefix] has changed after revision [from], or after [blockMs]. */
    fun watch(prefix: String, from: ULong, blockMs: Long, done: (WatchResult) -> Unit) {
        val path = StoreCodec.watchPath(prefix, from, blockMs)
        watches.send("GET", path, null, blockMs + timeoutMs) { done(watchResult(it)) }
    }

    /** Requests a new lease that expires [ttlMs] after its last renewal. */
    fun grantLease(ttlMs: Long, done: (LeaseGrantResult) -> Unit) {
        val body = StoreCodec.encodeLeaseRequest(ttlMs)
        calls.send("POST", StoreCodec.LEASES_PATH, body, timeoutMs) { done(grantResult(it)) }
    }

    /** Renews a lease for its original duration. */
    fun renewLease(lease: ULong, done: (LeaseRenewalResult) -> Unit) {
        calls.send("POST", StoreCodec.leaseRenewalPath(lease), StoreCodec.encodeEmpty(), timeoutMs) {
            done(renewalResult(it))
        }
    }

    /** Revokes a lease; calls [done] when the request is answered or has failed. */
    fun revokeLease(lease: ULong, done: () -> Unit) {
        calls.send("DELETE", StoreCodec.leasePath(lease), null, timeoutMs) { done() }
    }

    private fun outcome(response: Response?): TransactionOutcome = decodeOr(TransactionOutcome.Unknown) {
        when (response?.status) {
            null -> TransactionOutcome.Unknown
            HttpStatus.OK -> TransactionOutcome.Committed(StoreCodec.decodeRevision(response.body))
            HttpStatus.CONFLICT -> StoreCodec.decodeConflict(response.body)
            else -> TransactionOutcome.Refused(response.status)
        }
    }

    private fun readResult(response: Response?): ReadResult = decodeOr(ReadResult.Failed) {
        when (response?.status) {
            HttpStatus.OK -> ReadResult.Found(StoreCodec.decodeValue(response.body))
            HttpStatus.NOT_FOUND -> ReadResult.Absent(StoreCodec.decodeRevision(response.body))
            else -> ReadResult.Failed
        }
    }

    private fun listResult(response: Response?): ListResult = decodeOr(ListResult.Failed) {
        if (response?.status == HttpStatus.OK) StoreCodec.decodePage(response.body) else ListResult.Failed
    }

    private fun watchResult(response: Response?): WatchResult = decodeOr(WatchResult.Failed) {
        when (response?.status) {
            HttpStatus.OK -> StoreCodec.decodeChanges(response.body)
            HttpStatus.GONE -> WatchResult.Compacted
            else -> WatchResult.Failed
        }
    }

    private fun grantResult(response: Response?): LeaseGrantResult = decodeOr(LeaseGrantResult.Failed) {
        if (response?.status == HttpStatus.OK) {
            LeaseGrantResult.Granted(StoreCodec.decodeLease(response.body))
        } else {
            LeaseGrantResult.Failed
        }
    }

    private fun renewalResult(response: Response?): LeaseRenewalResult = when (response?.status) {
        HttpStatus.OK -> LeaseRenewalResult.RENEWED
        HttpStatus.NOT_FOUND -> LeaseRenewalResult.EXPIRED
        else -> LeaseRenewalResult.FAILED
    }

    /** Returns [fallback] for a malformed response, which the caller retries like a missing one. */
    private inline fun <T> decodeOr(fallback: T, decode: () -> T): T = try {
        decode()
    } catch (malformed: MalformedException) {
        fallback
    }

    private companion object {
        /** The version of a key that does not exist. */
        const val ABSENT = 0uL

        /** The timeout of a list, in timeouts of other requests, since its pages are large. */
        const val LIST_TIMEOUT_FACTOR = 2
    }
}
