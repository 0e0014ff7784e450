package flaxfield.sim

/** Schedules actions at given times of a simulation, in seconds from now. */
class FaultSchedule(private val loop: SimLoop) {
    fun at(seconds: Double, action: () -> Unit) = loop.after((seconds * SimLoop.SECOND).toLong(), action)

    /** Calls [set] with `true` at [fromS], and with `false` [durationS] later. */
    fun during(fromS: Double, durationS: Double, set: (Boolean) -> Unit) {
        at(fromS) { set(true) }
        at(fromS + durationS) { set(false) }
    }
}
