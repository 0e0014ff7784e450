package flaxfield.sim

import flaxfield.net.Request
import flaxfield.net.Response

/** A request to a controller, and how long its sender waits for the response. */
class SimRequest(val method: String, val path: String, val body: ByteArray, val timeoutMs: Long) {
    override fun toString() = "$method $path"
}

/** Delivers requests of users and workers to the controllers of a simulated cluster. */
class SimRequests(
    private val loop: SimLoop,
    private val controllerNames: List<String>,
    private val invariants: InvariantChecker,
    private val controller: (Int) -> SimController,
) {
    private val recorder = SimRecorder.current

    /** Sends [request] to controller [index] over [link]; [done] gets null if it times out. */
    fun send(index: Int, request: SimRequest, link: SimLink, done: (Response?) -> Unit) {
        val sentNs = loop.nowNs
        recorder?.sent(sentNs, SimChannel.REQUEST, "${controllerNames[index]} $request", request.body)
        val transport = link.transport({ true }) { _, _, _, answer -> deliver(index, request, sentNs, answer) }
        transport.send(request.method, request.path, request.body, request.timeoutMs, done)
    }

    private fun deliver(index: Int, request: SimRequest, sentNs: Long, answer: (Response) -> Unit) {
        val kind = if (request.path == HEARTBEAT_PATH) WorkKind.HEARTBEAT else WorkKind.USER
        if (!controller(index).accepts(kind)) return answer(Response(UNAVAILABLE, ByteArray(0)))
        // Requests whose sender has timed out are dropped, as for a closed connection.
        val isSenderWaiting = { loop.nowNs - sentNs < request.timeoutMs * SimLoop.MS }
        var answers = 0
        val received = Request(request.method, request.path, "", request.body, isSenderWaiting) { status, body, retryAfterS ->
            // On a keep-alive connection, a second response would be taken for that of the next request.
            if (++answers > 1) invariants.violations += "$request answered $answers times, at ${loop.nowS}"
            val target = "${controllerNames[index]} $request $status $retryAfterS"
            recorder?.sent(loop.nowNs, SimChannel.ANSWER, target, body.bytes)
            answer(Response(status, body.bytes))
        }
        controller(index).handle(kind, received)
    }

    companion object {
        const val HEARTBEAT_PATH = "/hello"
        private const val UNAVAILABLE = 503
    }
}
