package flaxfield.net

/** The response of another component to a request. */
class Response(val status: Int, val body: ByteArray)

/** Sends requests to one endpoint. */
fun interface HttpTransport {
    /**
     * Sends one request and calls [done] exactly once. It receives null if there was no response within [timeoutMs];
     * the request may then have been executed or not.
     */
    fun send(method: String, path: String, body: ByteArray?, timeoutMs: Long, done: (Response?) -> Unit)
}
