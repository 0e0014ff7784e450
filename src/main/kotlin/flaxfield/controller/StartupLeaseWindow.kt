package flaxfield.controller

import flaxfield.NANOS_PER_SECOND

/**
 * A time window after this process has become a member of a cluster that already has machines. Planning is suspended
 * during it: it is slow while its code runs for the first time, and would delay lease renewals and halts.
 */
internal class StartupLeaseWindow(private val context: ControllerContext) {
    private var untilNs: Long? = null

    /** Whether planning is suspended now. The window opens once, at the first call with a current term. */
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
        /** The length of the window as a share of a worker's lease. */
        const val LEASE_SHARE = 0.15
    }
}
