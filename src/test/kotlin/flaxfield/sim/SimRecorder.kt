package flaxfield.sim

/** Observes every message of a simulation, in the order in which they are sent. */
fun interface SimRecorder {
    /**
     * Called for a message sent at [atNs] of simulated time. [target] names its sender, receiver, and method and path
     * or status; [body] holds its bytes.
     */
    fun sent(atNs: Long, channel: SimChannel, target: String, body: ByteArray)

    companion object {
        private val installed = ThreadLocal<SimRecorder?>()

        /** The recorder of simulations that this thread creates from now on; null, the default, disables recording. */
        var current: SimRecorder?
            get() = installed.get()
            set(value) = installed.set(value)
    }
}

/** The sender and receiver of a message, by kind. */
enum class SimChannel {
    /** A controller's request to the state service: transactions, leases, lists and watches. */
    STATE,

    /** A controller's request to the cloud. */
    CLOUD,

    /** A controller's direct command to a worker. */
    COMMAND,

    /** A controller's message to a peer. */
    PEER,

    /** A user's request or a worker's heartbeat to a controller. */
    REQUEST,

    /** A controller's response to such a request. */
    ANSWER,
}
