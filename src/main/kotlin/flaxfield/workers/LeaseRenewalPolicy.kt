package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.settings.WorkerTimes

/**
 * How old the view may be when a heartbeat is answered with 200, which renews the worker's lease. A task of a job whose
 * cancellation is not in the view runs on until that lease ends, `lease_s` after the heartbeat was sent; and the
 * cancellation was confirmed after the view's moment, if at all. So for every settings
 *
 *     age of the view at the response + lease_s <= cancel_s
 *
 * must hold. A heartbeat is older than our reading of the clock, and transit in both directions only shortens the
 * renewed lease.
 */
class LeaseRenewalPolicy(times: WorkerTimes) {
    /** How long a view that moves on lags at most: a lower bound would refuse workers in ordinary operation. */
    val freshS = times.heartbeatIntervalS

    /** The view's maximum age in seconds. Where `cancel_s` is too short for a lease, it is [freshS]. */
    val boundS =
        maxOf(
            times.cancelS * (1 - DRIFT) - times.leaseS * (1 + DRIFT) - times.heartbeatIntervalS * MARGIN_HEARTBEATS,
            freshS,
        )

    /** [boundS] in nanoseconds. */
    val boundNs = (boundS * NANOS_PER_SECOND).toLong()

    /** [freshS] in nanoseconds. */
    val freshNs = (freshS * NANOS_PER_SECOND).toLong()

    private companion object {
        /** PROTOCOL-flaxfield.md: monotonic clocks drift apart by up to 0.05%. */
        const val DRIFT = 0.0005

        /** Timers fire late, and a worker checks its lease from time to time only. */
        const val MARGIN_HEARTBEATS = 0.25
    }
}
