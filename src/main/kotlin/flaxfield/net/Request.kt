package flaxfield.net

/** An HTTP request. [responder] is used once, on the owner thread or the network thread. */
class Request(
    val method: String,
    val path: String,
    /** The query string without its question mark; empty if there is none. */
    val query: String,
    val body: ByteArray,
    /** Whether the client is still connected. If not, the request is dropped without being executed. */
    val isClientWaiting: () -> Boolean = { true },
    val responder: Responder,
)
