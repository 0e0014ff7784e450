package flaxfield.store

import flaxfield.settings.StateLimits

/** What a request is for, from the most to the least important. */
enum class Cause(
    /** The share of the bucket that must remain after the request: it is kept for those above. */
    val reserve: Double,
) {
    LEASE(-1.0),
    CANCEL(-0.5),
    FINISH(0.0),
    SUBMIT(0.0),
    GANG(0.1),
    FLEET(0.2),
    ARRAY(0.25),
    READ(0.3),
    ROOM(0.4),
}

/**
 * This node's share of the state service's two limits, as token buckets. Going into debt is allowed to
 * the most important causes only, so a burst of submissions never costs a lease.
 */
class Budget(limits: StateLimits, nodes: Int) {
    private class Bucket(val rate: Double) {
        /** The service allows one second's worth; we hold as much of our own share. */
        var tokens = rate
        var at = 0L

        fun refill(nowNs: Long) {
            if (at == 0L) at = nowNs
            tokens = minOf(rate, tokens + rate * (nowNs - at) / NS)
            at = nowNs
        }

        fun allows(cost: Int, reserve: Double) = tokens - cost >= reserve * rate

        fun take(cost: Int) {
            tokens -= cost
        }
    }

    private val requests = Bucket(limits.rps * SAFE_SHARE / nodes)
    private val writes = Bucket(limits.writeRps * SAFE_SHARE / nodes)

    /** Takes one request with [puts] changes if its cause may have it now. */
    fun take(cause: Cause, puts: Int, nowNs: Long): Boolean {
        requests.refill(nowNs)
        writes.refill(nowNs)
        if (!requests.allows(1, cause.reserve)) return false
        // Even an empty bucket lets a full-sized transaction through in time: it may overdraw once.
        val cost = minOf(puts, maxOf(1, (writes.rate * (1 - cause.reserve.coerceAtLeast(0.0))).toInt()))
        if (puts > 0 && !writes.allows(cost, cause.reserve)) return false
        requests.take(1)
        writes.take(puts)
        return true
    }

    private companion object {
        /** A little stays unused: our clock and the service's do not tick together. */
        const val SAFE_SHARE = 0.95
        const val NS = 1e9
    }
}
