package flaxfield.store

import flaxfield.NANOS_PER_SECOND

/**
 * A token bucket over a share of a rate limit. Whoever takes tokens may leave it in debt; only the owner thread touches
 * it.
 *
 * @param limit the limit of all controllers together, in tokens a second
 * @param controllers among how many it is shared at first
 * @param capacityS how many seconds' worth of tokens it holds
 */
internal class TokenBucket(private val limit: Double, controllers: Int, private val capacityS: Double = 1.0) {
    /** Tokens a second. */
    var rate = limit / controllers
        private set

    /** The tokens there are; negative while in debt. One second's worth at the start, as the service allows. */
    var tokens = rate
        private set
    private var refilledNs = 0L

    /** Adds the tokens of the time since the last call. */
    fun refill(nowNs: Long) {
        if (refilledNs == 0L) refilledNs = nowNs
        tokens = minOf(rate * capacityS, tokens + rate * (nowNs - refilledNs) / NANOS_PER_SECOND)
        refilledNs = nowNs
    }

    /** From here on the bucket holds itself to [share] of the limit. */
    fun setShare(share: Double) {
        rate = limit * share
        tokens = minOf(tokens, rate * capacityS)
    }

    /** Whether the share [reserve] of a second's tokens remains after taking [count]. */
    fun allows(count: Int, reserve: Double): Boolean = tokens - count >= reserve * rate

    fun take(count: Int) {
        tokens -= count
    }
}
