package flaxfield.net

/** A response of another component. */
class Response(val status: Int, val body: ByteArray)

/** Sends requests to one endpoint. */
fun interface HttpTransport {
    /**
     * Sends one request; [done] is called once. It gets null when there was no response within [timeoutMs], and then
     * the request may or may not have been executed.
     */
    fun send(method: String, path: String, body: ByteArray?, timeoutMs: Long, done: (Response?) -> Unit)
}
