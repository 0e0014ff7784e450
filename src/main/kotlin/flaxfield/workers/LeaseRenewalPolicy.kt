package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.settings.WorkerTimes

/**
 * How old the view may be when a report is answered with 200, which renews its worker's lease. A task of a job whose
 * cancellation is not in the view lives on until that lease ends, `lease_s` after the report was sent; and the
 * cancellation was confirmed after the view's moment, if at all. So for every settings
 *
 *     age of the view at the answer + lease_s <= cancel_s
 *
 * must hold. A report is older than our look at the clock, and its way and ours only shorten what it is worth.
 */
class LeaseRenewalPolicy(times: WorkerTimes) {
    /** How long a view that moves on lags at most: below it the bound would refuse workers in ordinary times. */
    val freshS = times.heartbeatIntervalS

    /** Where `cancel_s` leaves no room for a lease, reports are answered on knowledge alone. */
    val boundS =
        maxOf(
            times.cancelS * (1 - DRIFT) - times.leaseS * (1 + DRIFT) - times.heartbeatIntervalS * MARGIN_HEARTBEATS,
            freshS,
        )

    val boundNs = (boundS * NANOS_PER_SECOND).toLong()
    val freshNs = (freshS * NANOS_PER_SECOND).toLong()

    private companion object {
        /** PROTOCOL-flaxfield.md: steady clocks drift apart by up to 0.05%. */
        const val DRIFT = 0.0005

        /** Timers fire late, and a worker looks at its lease from time to time only. */
        const val MARGIN_HEARTBEATS = 0.25
    }
}
