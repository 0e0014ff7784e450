package flaxfield.fleet

import flaxfield.NANOS_PER_SECOND

/** The cloud's limit on requests, with its burst of two seconds' worth, kept a little below. */
class CloudRate(rps: Double) {
    private val rate = rps * SHARE
    private var tokens = 0.0
    private var atNs = 0L

    /** Takes one request if it may be sent now. */
    fun allows(nowNs: Long): Boolean {
        tokens = if (atNs == 0L) rate else minOf(rate * BURST_S, tokens + rate * (nowNs - atNs) / NANOS_PER_SECOND)
        atNs = nowNs
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    private companion object {
        const val SHARE = 0.9
        const val BURST_S = 2
    }
}
