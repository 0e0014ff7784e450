package flaxfield.sim

/** Told of every message of a simulation, in the order in which they are sent. */
fun interface SimRecorder {
    /**
     * A message sent at [atNs] of virtual time: [target] says from whom, how and where to, [body] are its bytes as
     * sent.
     */
    fun sent(atNs: Long, channel: SimChannel, target: String, body: ByteArray)

    companion object {
        private val installed = ThreadLocal<SimRecorder?>()

        /** What simulations that this thread sets up from now on report to; null, as by default, for nobody. */
        var current: SimRecorder?
            get() = installed.get()
            set(value) = installed.set(value)
    }
}

/** Between whom a message of a simulation goes. */
enum class SimChannel {
    /** A controller's request to the state service: transactions, leases, lists and watches. */
    STATE,

    /** A controller's request to the cloud. */
    CLOUD,

    /** A controller's direct command to a worker. */
    COMMAND,

    /** A controller's message to another. */
    PEER,

    /** A request to a controller, by a user or as a worker's report. */
    REQUEST,

    /** A controller's answer to such a request. */
    ANSWER,
}
