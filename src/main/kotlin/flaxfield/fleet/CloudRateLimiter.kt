package flaxfield.fleet

import flaxfield.NANOS_PER_SECOND

/**
 * A token bucket for requests to the cloud. It uses [SAFE_SHARE] of the cloud's limit, [requestsPerS], and allows
 * bursts of [BURST_S] seconds' worth of requests. Confined to the owner thread.
 */
class CloudRateLimiter(requestsPerS: Double) {
    private val tokensPerS = requestsPerS * SAFE_SHARE
    private var tokens = 0.0
    private var refilledAtNs = 0L

    /** Takes a token for one request; returns false if none is available at [nowNs] (monotonic clock). */
    fun tryAcquire(nowNs: Long): Boolean {
        tokens = if (refilledAtNs == 0L) {
            tokensPerS
        } else {
            minOf(tokensPerS * BURST_S, tokens + tokensPerS * (nowNs - refilledAtNs) / NANOS_PER_SECOND)
        }
        refilledAtNs = nowNs
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    private companion object {
        const val SAFE_SHARE = 0.9
        const val BURST_S = 2
    }
}
