package flaxfield.controller

import flaxfield.NANOS_PER_MILLI
import flaxfield.NANOS_PER_SECOND
import org.slf4j.LoggerFactory

/**
 * Detects pauses of this process. The owner thread wakes at least every [Controller.TICK_MS], so a much longer gap
 * between two checks is a pause of the process itself. Heartbeats missed during a pause are no evidence against a
 * worker, so the time without its heartbeats is counted without the pause.
 *
 * @param onPause receives the length of a pause in nanoseconds
 */
internal class ProcessPauseDetector(
    private val clock: Clock,
    private val leaseS: Double,
    private val onPause: (Long) -> Unit,
) {
    private var lastCheckNs = 0L

    /** Compares the time with the previous check; called before each command and at each [Controller.runDueWork]. */
    fun check() {
        val nowNs = clock.monotonicNs()
        val gapNs = nowNs - lastCheckNs
        val isFirst = lastCheckNs == 0L
        lastCheckNs = nowNs
        if (isFirst || gapNs < leaseS * PAUSE_LEASE_SHARE * NANOS_PER_SECOND) return
        log.info("event=process_paused duration_ms={}", gapNs / NANOS_PER_MILLI)
        onPause(gapNs)
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.controller")

        /** The shortest gap that counts as a pause, as a share of a worker's lease; gaps under load are far shorter. */
        const val PAUSE_LEASE_SHARE = 0.1
    }
}
