package flaxfield.sim

/** A token bucket in simulated time. It holds up to [burst] tokens, is refilled at [ratePerS] and starts full. */
class SimRateLimit(private val loop: SimLoop, private val ratePerS: Double, private val burst: Double) {
    private var tokens = burst
    private var refilledAtS = 0.0

    /** Takes [count] tokens and returns true, or returns false if there are fewer. */
    fun tryTake(count: Int): Boolean {
        tokens = minOf(burst, tokens + ratePerS * (loop.nowS - refilledAtS))
        refilledAtS = loop.nowS
        if (tokens < count) return false
        tokens -= count
        return true
    }
}
