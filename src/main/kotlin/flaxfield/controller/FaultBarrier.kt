package flaxfield.controller

import org.slf4j.LoggerFactory

/** Runs steps of the owner thread; an exception in a step is logged and does not end the process. */
internal object FaultBarrier {
    val log = LoggerFactory.getLogger("flaxfield.controller")

    inline fun run(step: () -> Unit) {
        try {
            step()
        } catch (fault: Exception) {
            log.error("event=internal_fault", fault)
        }
    }
}
