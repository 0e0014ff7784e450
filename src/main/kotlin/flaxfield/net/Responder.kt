package flaxfield.net

import org.slf4j.LoggerFactory

/** Sends the response to one request. */
fun interface Responder {
    /** Sends [body] with [status]; [retryAfterS], if not null, becomes the `Retry-After` header. */
    fun send(status: Int, body: Body, retryAfterS: Int?)
}

/**
 * Forwards the first response only. On a persistent connection, the client would take a second response as the response
 * to its next request. A second response is a bug in the caller and is logged.
 */
class SingleUseResponder(private val responder: Responder) : Responder {
    private var isUsed = false

    override fun send(status: Int, body: Body, retryAfterS: Int?) {
        if (isUsed) return log.error("event=second_response_dropped status={}", status)
        isUsed = true
        responder.send(status, body, retryAfterS)
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.net")
    }
}
