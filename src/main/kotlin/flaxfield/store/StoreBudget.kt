package flaxfield.store

import flaxfield.settings.StateLimits

/**
 * Enforces this controller's share of the store's request and write limits with token buckets. Only important causes
 * may go into debt and the others must leave a reserve, see [WriteCause.reserve], so that a burst of submissions never
 * costs a lease. Used only by the owner thread.
 */
class StoreBudget(limits: StateLimits, controllers: Int) {
    private val requests = TokenBucket(limits.rps * USABLE_SHARE, controllers)
    private val writes = TokenBucket(limits.writeRps * USABLE_SHARE * (1 - MAINTENANCE_SHARE), controllers)
    private val maintenance =
        TokenBucket(limits.writeRps * USABLE_SHARE * MAINTENANCE_SHARE, controllers, MAINTENANCE_CAPACITY_S)

    /** Whether enough writes are available that changes need not be batched to save them. */
    fun hasAmpleWrites(nowNs: Long): Boolean {
        writes.refill(nowNs)
        return writes.tokens >= writes.rate * AMPLE_SHARE
    }

    /**
     * Returns the largest size of a bulk write, at most [max]. A larger one would delay all other writes for seconds.
     */
    fun maxBulkChanges(max: Int): Int = minOf(max, (writes.rate * BULK_WRITE_S).toInt().coerceAtLeast(MIN_BULK_CHANGES))

    /** Limits this controller to [share] of the two limits from now on. */
    fun setShare(share: RateShare) {
        requests.setShare(share.requests)
        writes.setShare(share.writes)
        maintenance.setShare(share.writes)
    }

    /**
     * Whether [take] would grant a request with [changes] changes now. Checked before a transaction is built, since
     * building one that is rejected costs as much as building one that is sent.
     */
    fun allows(cause: WriteCause, changes: Int, nowNs: Long): Boolean = bucketFor(cause, changes, nowNs) != null

    /** Takes one request with [changes] changes if [cause] allows it now; otherwise returns false and takes nothing. */
    fun take(cause: WriteCause, changes: Int, nowNs: Long): Boolean {
        val bucket = bucketFor(cause, changes, nowNs) ?: return false
        requests.take(1)
        bucket.take(changes)
        return true
    }

    /** Returns the bucket that the changes would be taken from; null if they are not allowed now. */
    private fun bucketFor(cause: WriteCause, changes: Int, nowNs: Long): TokenBucket? {
        requests.refill(nowNs)
        writes.refill(nowNs)
        maintenance.refill(nowNs)
        return when {
            !requests.allows(1, cause.reserve) -> null
            changes == 0 -> writes
            // Each kind of write may also use the other kind's bucket: maintenance writes may use the tokens above
            // their reserve, and other writes the surplus of the maintenance bucket.
            cause.isMaintenance && maintenance.tokens >= minOf(changes, MAX_OVERDRAFT_CHANGES) -> maintenance
            writes.allows(payableChanges(cause, changes), cause.reserve) -> writes
            !cause.isMaintenance &&
                maintenance.tokens >= maintenance.rate * MAINTENANCE_CAPACITY_S * LENDING_THRESHOLD_SHARE + changes ->
                maintenance
            else -> null
        }
    }

    /**
     * Returns the number of tokens that must be available for [changes]: at most what a full bucket holds above the
     * reserve. A larger transaction overdraws the bucket, as it could otherwise never be sent.
     */
    private fun payableChanges(cause: WriteCause, changes: Int): Int {
        val payable = (writes.rate * (1 - cause.reserve.coerceAtLeast(0.0))).toInt()
        return minOf(changes, maxOf(1, payable))
    }

    private companion object {
        /** The used share of the limits; the rest covers the drift between this clock and the store's. */
        const val USABLE_SHARE = 0.95

        /** The share of all writes that is reserved for maintenance: the fleet and the shard summaries. */
        const val MAINTENANCE_SHARE = 0.25

        /** The seconds of tokens that the maintenance bucket can hold, since its writes come in bulk. */
        const val MAINTENANCE_CAPACITY_S = 2.0

        /** The share of its capacity that the maintenance bucket keeps when other writes use it. */
        const val LENDING_THRESHOLD_SHARE = 0.6

        /** A bulk maintenance write may start with this many tokens and leave the bucket in debt for a moment. */
        const val MAX_OVERDRAFT_CHANGES = 4

        /** The seconds of tokens that limit the size of a bulk write. */
        const val BULK_WRITE_S = 0.7

        /** The size that a bulk write may always have. */
        const val MIN_BULK_CHANGES = 4

        /** Writes are ample while the bucket holds at least this share of a second of tokens. */
        const val AMPLE_SHARE = 0.7
    }
}
