package flaxfield.fleet

import flaxfield.NANOS_PER_SECOND

/**
 * Tracks the offers that the cloud has refused. Each one is retried with exponential backoff, starting at [backoffS].
 * Confined to the owner thread.
 */
class RefusedOffers(private val backoffS: Double) {
    private class Refusal(val atNs: Long, val untilNs: Long, val count: Int)

    private val refusals = HashMap<Offer, Refusal>()

    /** Whether the backoff of [offer] has not expired at [nowNs] (monotonic clock). */
    fun isRefused(offer: Offer, nowNs: Long): Boolean = refusals[offer]?.let { nowNs < it.untilNs } ?: false

    /** Whether [offer] was last refused less than [seconds] ago, and not granted in full since then. */
    fun isRefusedWithin(offer: Offer, seconds: Double, nowNs: Long): Boolean =
        refusals[offer]?.let { nowNs - it.atNs < seconds * NANOS_PER_SECOND } ?: false

    /** Records that [offer] was refused, or granted only in part. */
    fun add(offer: Offer, nowNs: Long) {
        val count = (refusals[offer]?.count ?: 0) + 1
        val waitS = backoffS * (1 shl minOf(count - 1, MAX_DOUBLINGS))
        refusals[offer] = Refusal(nowNs, nowNs + (waitS * NANOS_PER_SECOND).toLong(), count)
    }

    /** Records that [offer] was granted in full. */
    fun remove(offer: Offer) {
        refusals.remove(offer)
    }

    private companion object {
        const val MAX_DOUBLINGS = 3
    }
}
