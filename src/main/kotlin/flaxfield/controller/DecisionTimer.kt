package flaxfield.controller

/**
 * Tracks when the next round of decisions is due: after a change that affects decisions, or at a time that an earlier
 * round requested.
 */
class DecisionTimer {
    private var isRequested = true
    private var dueNs = Long.MAX_VALUE

    /** Requests a round as soon as possible, since the inputs of decisions have changed. */
    fun request() {
        isRequested = true
    }

    /** Requests a round at [ns], even if nothing changes until then. */
    fun requestAt(ns: Long) {
        if (ns < dueNs) dueNs = ns
    }

    /** Whether a round is due at [nowNs]. */
    fun isDue(nowNs: Long): Boolean = isRequested || nowNs >= dueNs

    /** Clears all requests at the start of a round, which requests again the times it still needs. */
    fun beginRound() {
        isRequested = false
        dueNs = Long.MAX_VALUE
    }
}
