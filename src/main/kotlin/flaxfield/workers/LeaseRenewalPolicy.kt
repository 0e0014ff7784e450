package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.settings.WorkerTimes

/**
 * Limits the age of the view with which a heartbeat may be answered with 200, which renews the worker's lease.
 *
 * A task whose cancellation is not yet in the view keeps running until the renewed lease expires, `lease_s` after the
 * heartbeat was sent. That cancellation was acknowledged no earlier than the time of the view. The following must
 * therefore hold for all settings:
 *
 *     age of the view at the response + lease_s <= cancel_s
 *
 * The lease starts before this process reads its clock, and network latency only shortens the renewed lease.
 */
class LeaseRenewalPolicy(times: WorkerTimes) {
    /** The maximum lag of the view in normal operation, in seconds: a lower limit would deny ordinary renewals. */
    val freshViewAgeS = times.heartbeatIntervalS

    /** The maximum age of the view in seconds; [freshViewAgeS] if `cancel_s` is too short to fit a lease. */
    val maxViewAgeS =
        maxOf(
            times.cancelS * (1 - MAX_CLOCK_DRIFT) - times.leaseS * (1 + MAX_CLOCK_DRIFT) -
                times.heartbeatIntervalS * MARGIN_HEARTBEAT_INTERVALS,
            freshViewAgeS,
        )

    /** [maxViewAgeS] in nanoseconds. */
    val maxViewAgeNs = (maxViewAgeS * NANOS_PER_SECOND).toLong()

    /** [freshViewAgeS] in nanoseconds. */
    val freshViewAgeNs = (freshViewAgeS * NANOS_PER_SECOND).toLong()

    private companion object {
        /** Monotonic clocks drift apart by up to 0.05%, see PROTOCOL-flaxfield.md. */
        const val MAX_CLOCK_DRIFT = 0.0005

        /** Margin for late timers, and for the interval at which a worker checks its lease. */
        const val MARGIN_HEARTBEAT_INTERVALS = 0.25
    }
}
