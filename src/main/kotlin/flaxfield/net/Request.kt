package flaxfield.net

/** One HTTP request. [responder] is used once, by the owner thread or the network thread. */
class Request(
    val method: String,
    val path: String,
    /** What follows the question mark of the target; empty if there is none. */
    val query: String,
    val body: ByteArray,
    /** Whether the client still waits: a request whose connection is closed needs no answer, nor the work for one. */
    val isClientWaiting: () -> Boolean = { true },
    val responder: Responder,
)
