package flaxfield.sim

/** A token bucket in simulated time: [perS] a second, and [burst] at once; full at the start. */
class SimRateLimit(private val loop: SimLoop, private val perS: Double, private val burst: Double) {
    private var tokens = burst
    private var atS = 0.0

    /** Whether [count] are allowed now; they are taken if so. */
    fun take(count: Int): Boolean {
        tokens = minOf(burst, tokens + perS * (loop.nowS - atS))
        atS = loop.nowS
        if (tokens < count) return false
        tokens -= count
        return true
    }
}
