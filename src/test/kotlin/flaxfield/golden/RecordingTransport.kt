package flaxfield.golden

import flaxfield.codec.Cbor
import flaxfield.net.HttpTransport
import flaxfield.net.Response

/** Records each request and responds to it with [response]. */
class RecordingTransport(private val response: Response? = null) : HttpTransport {
    private val requests = StringBuilder()

    /** The recorded requests: a line with method, path and timeout, and below it the body in hexadecimal digits. */
    val text: String get() = requests.toString()

    override fun send(method: String, path: String, body: ByteArray?, timeoutMs: Long, done: (Response?) -> Unit) {
        requests.append("$method $path timeout_ms=$timeoutMs\n")
        requests.append(if (body == null) "no body\n" else HexText.of(body))
        done(response)
    }

    companion object {
        /** Returns a transport that responds to each request with [status] and the encoded [body]. */
        fun responding(status: Int, body: ByteArray) = RecordingTransport(Response(status, body))

        /** Returns the response body that encodes [map]. */
        fun cbor(map: Map<String, Any?>): ByteArray = Cbor.encode(map)
    }
}
