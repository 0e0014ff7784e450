package flaxfield.controller

/** When the store last answered this process: during an outage, or while it alone is refused, that moment grows old. */
class StoreContact(private val clock: Clock) {
    /** The time of the last answer that was no error, by the monotonic clock; 0 before the first. */
    var lastResponseNs: Long = 0
        private set

    /** The store has just answered with anything but an error. */
    fun noteResponse() {
        lastResponseNs = clock.steadyNs()
    }

    /** How long ago the last answer came. */
    fun silenceNs(): Long = clock.steadyNs() - lastResponseNs
}
