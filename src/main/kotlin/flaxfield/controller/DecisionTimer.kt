package flaxfield.controller

/**
 * When the next round of decisions is due: something has changed, or a time has come that an earlier round asked for.
 */
class DecisionTimer {
    private var isRequested = true
    private var dueNs = Long.MAX_VALUE

    /** Something changed that decisions depend on. */
    fun request() {
        isRequested = true
    }

    /** A round is due at [ns] though nothing changes. */
    fun requestAt(ns: Long) {
        if (ns < dueNs) dueNs = ns
    }

    /** Whether a round is due at [nowNs]. */
    fun isDue(nowNs: Long): Boolean = isRequested || nowNs >= dueNs

    /** A round begins: what it still waits for it requests again. */
    fun begin() {
        isRequested = false
        dueNs = Long.MAX_VALUE
    }
}
