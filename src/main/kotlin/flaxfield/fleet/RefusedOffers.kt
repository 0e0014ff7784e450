package flaxfield.fleet

import flaxfield.NANOS_PER_SECOND

/**
 * Offers that the cloud has refused, each left alone with exponential backoff starting at [backoffS]. Owned by the
 * owner thread.
 */
class RefusedOffers(private val backoffS: Double) {
    private class Refusal(val untilNs: Long, val count: Int)

    private val refusals = HashMap<Offer, Refusal>()

    /** Whether [offer] is left alone at [nowNs] (monotonic clock). */
    fun isRefused(offer: Offer, nowNs: Long): Boolean = refusals[offer]?.let { nowNs < it.untilNs } ?: false

    /** Records that [offer] was refused, or granted in part only. */
    fun add(offer: Offer, nowNs: Long) {
        val count = (refusals[offer]?.count ?: 0) + 1
        val waitS = backoffS * (1 shl minOf(count - 1, MAX_DOUBLINGS))
        refusals[offer] = Refusal(nowNs + (waitS * NANOS_PER_SECOND).toLong(), count)
    }

    /** Records that [offer] was granted in full. */
    fun remove(offer: Offer) {
        refusals.remove(offer)
    }

    private companion object {
        const val MAX_DOUBLINGS = 3
    }
}
