package flaxfield.controller

import flaxfield.NANOS_PER_MILLI
import org.slf4j.LoggerFactory

/** A recurring duty of the owner thread; [name] is its label in the metric `flaxfield_duty_seconds`. */
internal class Duty(val name: String, val run: () -> Unit)

/**
 * Runs duties and accounts for their time. A duty that takes longer than [slowNs] delays answers that workers wait for:
 * it is named in the log. After each duty, [flushIfOverdue] sends what has waited for long.
 */
internal class DutyRunner(
    private val stats: ControllerStats,
    private val slowNs: Long,
    private val flushIfOverdue: () -> Unit,
) {
    /** Runs [duties] in their order. */
    fun runAll(duties: List<Duty>) {
        for (duty in duties) run(duty)
    }

    /** Runs [duty]; a fault in it is logged and ends nothing. */
    fun run(duty: Duty) {
        val startNs = System.nanoTime()
        FaultBarrier.run(duty.run)
        val elapsedNs = System.nanoTime() - startNs
        stats.addDutyTime(duty.name, elapsedNs)
        if (elapsedNs >
            slowNs
        ) {
            log.info("event=slow_duty duty={} elapsed_ms={}", duty.name, elapsedNs / NANOS_PER_MILLI)
        }
        flushIfOverdue()
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.controller")
    }
}
