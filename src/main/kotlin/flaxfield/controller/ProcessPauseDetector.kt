package flaxfield.controller

import flaxfield.NANOS_PER_MILLI
import flaxfield.NANOS_PER_SECOND
import org.slf4j.LoggerFactory

/**
 * Notices that this process stood still: the owner thread wakes at least every [Controller.TICK_MS], so a much longer
 * gap is its own pause. What was not heard meanwhile says nothing of workers, whose silence is counted without it.
 *
 * @param onPause takes the length of a pause in nanoseconds
 */
internal class ProcessPauseDetector(
    private val clock: Clock,
    private val leaseS: Double,
    private val onPause: (Long) -> Unit,
) {
    private var lastNs = 0L

    /** Called before each command and at each turn. */
    fun check() {
        val nowNs = clock.monotonicNs()
        val gapNs = nowNs - lastNs
        val isFirst = lastNs == 0L
        lastNs = nowNs
        if (isFirst || gapNs < leaseS * PAUSE_LEASE_SHARE * NANOS_PER_SECOND) return
        log.info("event=process_paused pause_ms={}", gapNs / NANOS_PER_MILLI)
        onPause(gapNs)
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.controller")

        /** A gap of this share of a worker's lease is a pause; a busy process's turns are far shorter. */
        const val PAUSE_LEASE_SHARE = 0.1
    }
}
