package flaxfield.golden

import flaxfield.codec.Cbor
import flaxfield.net.HttpTransport
import flaxfield.net.Response

/** A stand-in for an endpoint: writes down each request and answers it with [answer]. */
class RecordingCalls(private val answer: Response? = null) : HttpTransport {
    private val requests = StringBuilder()

    /** All requests so far: method, path, limit of time, and the body in hexadecimal digits below. */
    val text: String get() = requests.toString()

    override fun send(method: String, path: String, body: ByteArray?, timeoutMs: Long, done: (Response?) -> Unit) {
        requests.append("$method $path timeout_ms=$timeoutMs\n")
        requests.append(if (body == null) "no body\n" else HexText.of(body))
        done(answer)
    }

    companion object {
        /** An endpoint that answers with [status] and the map of [body] in CBOR. */
        fun answering(status: Int, body: ByteArray) = RecordingCalls(Response(status, body))

        /** The answer's body for a map. */
        fun cbor(map: Map<String, Any?>): ByteArray = Cbor.encode(map)
    }
}
