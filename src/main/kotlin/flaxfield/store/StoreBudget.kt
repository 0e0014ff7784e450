package flaxfield.store

import flaxfield.settings.StateLimits

/**
 * This controller's share of the store's two rate limits, as token buckets. Only the most important causes may go into
 * debt, so that a burst of submissions never costs a lease. Owned by the owner thread.
 */
class StoreBudget(limits: StateLimits, controllers: Int) {
    private val requests = TokenBucket(limits.rps * SAFE_SHARE, controllers)
    private val writes = TokenBucket(limits.writeRps * SAFE_SHARE * (1 - UPKEEP_SHARE), controllers)
    private val upkeep = TokenBucket(limits.writeRps * SAFE_SHARE * UPKEEP_SHARE, controllers, UPKEEP_CAPACITY_S)

    /** Whether changes are plentiful now: nothing needs to be batched to save them. */
    fun hasAmpleWrites(nowNs: Long): Boolean {
        writes.refill(nowNs)
        return writes.tokens >= writes.rate * AMPLE_SHARE
    }

    /** How many changes one bulk write may have, at most [max]: more would keep all others waiting for seconds. */
    fun maxBulkChanges(max: Int): Int = minOf(max, (writes.rate * BULK_S).toInt().coerceAtLeast(MIN_BULK))

    /** From here on the controller holds itself to [share] of the two limits. */
    fun setShare(share: RateShare) {
        requests.setShare(share.requests)
        writes.setShare(share.writes)
        upkeep.setShare(share.writes)
    }

    /**
     * Whether [take] would grant a request with [changes] changes now. Asked before a transaction is built, since
     * building one that is refused costs as much as one that is sent.
     */
    fun may(cause: WriteCause, changes: Int, nowNs: Long): Boolean = source(cause, changes, nowNs) != null

    /** Takes one request with [changes] changes if its cause may have it now; false, with nothing taken, if not. */
    fun take(cause: WriteCause, changes: Int, nowNs: Long): Boolean {
        val source = source(cause, changes, nowNs) ?: return false
        requests.take(1)
        source.take(changes)
        return true
    }

    /** The bucket that the changes would be taken from; null if they may not be had now. */
    private fun source(cause: WriteCause, changes: Int, nowNs: Long): TokenBucket? {
        requests.refill(nowNs)
        writes.refill(nowNs)
        upkeep.refill(nowNs)
        return when {
            !requests.allows(1, cause.reserve) -> null
            changes == 0 -> writes
            // Only what both buckets hold together is too much at once: each may spend what the other does not need.
            cause.upkeep && upkeep.tokens >= minOf(changes, MAX_OVERDRAFT) -> upkeep
            writes.allows(payableChanges(cause, changes), cause.reserve) -> writes
            !cause.upkeep && upkeep.tokens >= upkeep.rate * UPKEEP_CAPACITY_S * SPARE_SHARE + changes -> upkeep
            else -> null
        }
    }

    /** No more than a full bucket can pay: it may overdraw once, so that large transactions get through in time. */
    private fun payableChanges(cause: WriteCause, changes: Int): Int {
        val payable = (writes.rate * (1 - cause.reserve.coerceAtLeast(0.0))).toInt()
        return minOf(changes, maxOf(1, payable))
    }

    private companion object {
        /** A little stays unused: our clock and the service's do not tick together. */
        const val SAFE_SHARE = 0.95

        /** The share of all changes that is kept for the fleet and the shard summaries. */
        const val UPKEEP_SHARE = 0.25

        /** It may be saved up for so long, since its writes come in bulk. */
        const val UPKEEP_CAPACITY_S = 2.0

        /** Above this share of what it holds, others may use it. */
        const val SPARE_SHARE = 0.6

        /** A bulk write goes when so many of its changes are there: the bucket is in debt for a moment. */
        const val MAX_OVERDRAFT = 4

        /** A bulk write takes no more than the changes of this time, */
        const val BULK_S = 0.7

        /** and may always have this many. */
        const val MIN_BULK = 4

        /** Changes are plentiful while this share of a second's worth is there. */
        const val AMPLE_SHARE = 0.7
    }
}
