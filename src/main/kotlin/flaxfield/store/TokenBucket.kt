package flaxfield.store

import flaxfield.NANOS_PER_SECOND

/**
 * A token bucket for a share of a rate limit. Taking tokens may leave the bucket in debt. Used only by the owner
 * thread.
 *
 * @param limit the limit of all controllers together, in tokens per second
 * @param controllers the number of controllers that share the limit equally until [setShare] is called
 * @param capacityS the capacity in seconds of tokens
 */
internal class TokenBucket(private val limit: Double, controllers: Int, private val capacityS: Double = 1.0) {
    /** Tokens per second. */
    var rate = limit / controllers
        private set

    /** The available tokens; negative while in debt. Starts with one second of tokens, as the store allows. */
    var tokens = rate
        private set
    private var refilledNs = 0L

    /** Adds the tokens for the time since the previous call. */
    fun refill(nowNs: Long) {
        if (refilledNs == 0L) refilledNs = nowNs
        tokens = minOf(rate * capacityS, tokens + rate * (nowNs - refilledNs) / NANOS_PER_SECOND)
        refilledNs = nowNs
    }

    /** Sets the rate to [share] of the limit. */
    fun setShare(share: Double) {
        rate = limit * share
        tokens = minOf(tokens, rate * capacityS)
    }

    /** Whether the share [reserve] of a second of tokens remains after taking [count]. */
    fun allows(count: Int, reserve: Double): Boolean = tokens - count >= reserve * rate

    fun take(count: Int) {
        tokens -= count
    }
}
