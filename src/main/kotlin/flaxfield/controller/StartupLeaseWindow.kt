package flaxfield.controller

import flaxfield.NANOS_PER_SECOND

/**
 * The time after this process has become a member beside machines that were at work before it started. Their leases and
 * halts come before all planning, which is slow in code that runs for the first time.
 */
internal class StartupLeaseWindow(private val context: ControllerContext) {
    private var untilNs: Long? = null

    /** Whether planning waits now; the window opens at the first call under a term, and only once. */
    fun isOpen(): Boolean {
        if (context.leadership.term() == null) return false
        val until = untilNs ?: endNs().also { untilNs = it }
        return context.nowNs < until
    }

    private fun endNs(): Long {
        if (context.view.machines.isEmpty()) return context.nowNs
        return context.nowNs + (context.settings.workers.leaseS * LEASE_SHARE * NANOS_PER_SECOND).toLong()
    }

    private companion object {
        /** How long the window lasts, as a share of a worker's lease. */
        const val LEASE_SHARE = 0.15
    }
}
