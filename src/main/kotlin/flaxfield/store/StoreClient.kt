package flaxfield.store

import flaxfield.codec.MalformedException
import flaxfield.net.HttpStatus
import flaxfield.net.HttpTransport
import flaxfield.net.Response

/**
 * Speaks the state service's protocol. Callbacks run on the event loop. A request is given up after [timeoutMs]; its
 * result then says that it failed or is unknown.
 *
 * @param calls for everything but watches
 * @param watches for the one watch that is open at a time, so that it never keeps other requests waiting
 */
class StoreClient(private val calls: HttpTransport, private val watches: HttpTransport, private val timeoutMs: Long) {
    /** Submits a transaction; a lost answer is [TransactionOutcome.Unknown]. */
    fun txn(transaction: Transaction, done: (TransactionOutcome) -> Unit) {
        val body = StoreCodec.encodeTransaction(transaction)
        calls.send("POST", StoreCodec.TRANSACTION_PATH, body, timeoutMs) { done(outcome(it)) }
    }

    /** Reads one key. */
    fun get(key: String, done: (ReadResult) -> Unit) {
        calls.send("GET", StoreCodec.keyPath(key), null, timeoutMs) { done(readResult(it)) }
    }

    /** Which of [keys] exist, by a transaction that only compares; null without an answer. */
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

    /** Lists up to [limit] keys that begin with [under], those after [from] if it is given. */
    fun list(under: String, from: String?, limit: Int, done: (ListResult) -> Unit) {
        val path = StoreCodec.listPath(under, from, limit)
        calls.send("GET", path, null, timeoutMs * LIST_TIMEOUTS) { done(listResult(it)) }
    }

    /** Opens one watch; it answers when something under [under] changed after [from], or after [blockMs]. */
    fun watch(under: String, from: ULong, blockMs: Long, done: (WatchResult) -> Unit) {
        val path = StoreCodec.watchPath(under, from, blockMs)
        watches.send("GET", path, null, blockMs + timeoutMs) { done(watchResult(it)) }
    }

    /** Asks for a new lease that lasts [ttlMs] without a renewal. */
    fun grantLease(ttlMs: Long, done: (LeaseGrantResult) -> Unit) {
        val body = StoreCodec.encodeLeaseRequest(ttlMs)
        calls.send("POST", StoreCodec.LEASES_PATH, body, timeoutMs) { done(grantResult(it)) }
    }

    /** Renews a lease for the time that it was granted for. */
    fun renewLease(lease: ULong, done: (LeaseRenewalResult) -> Unit) {
        calls.send("POST", StoreCodec.leaseRenewalPath(lease), StoreCodec.encodeEmpty(), timeoutMs) {
            done(renewalResult(it))
        }
    }

    /** Ends a lease; [done] once that is answered, or given up on. */
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

    /** An answer that can't be read is worth as much as none: the caller's retry covers both. */
    private inline fun <T> decodeOr(otherwise: T, decode: () -> T): T = try {
        decode()
    } catch (malformed: MalformedException) {
        otherwise
    }

    private companion object {
        /** The version of a key that does not exist. */
        const val ABSENT = 0uL

        /** A page is large: it may take this many timeouts of other requests. */
        const val LIST_TIMEOUTS = 2
    }
}
