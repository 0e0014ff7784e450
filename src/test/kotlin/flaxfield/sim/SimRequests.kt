package flaxfield.sim

import flaxfield.net.Request
import flaxfield.net.Response

/** A request to a controller, and how long its sender waits for the answer. */
class SimRequest(val method: String, val path: String, val body: ByteArray, val timeoutMs: Long) {
    override fun toString() = "$method $path"
}

/** Requests of users and workers to the controllers of a simulated cluster. */
class SimRequests(
    private val loop: SimLoop,
    private val controllerNames: List<String>,
    private val invariants: InvariantChecker,
    private val controller: (Int) -> SimController,
) {
    private val recorder = SimRecorder.current

    /** Sends [request] to the controller [index] over [link]; [done] gets null if there is no answer in time. */
    fun send(index: Int, request: SimRequest, link: SimLink, done: (Response?) -> Unit) {
        val sentNs = loop.nowNs
        recorder?.sent(sentNs, SimChannel.REQUEST, "${controllerNames[index]} $request", request.body)
        val transport = link.transport({ true }) { _, _, _, answer -> deliver(index, request, sentNs, answer) }
        transport.send(request.method, request.path, request.body, request.timeoutMs, done)
    }

    private fun deliver(index: Int, request: SimRequest, sentNs: Long, answer: (Response) -> Unit) {
        val kind = if (request.path == HEARTBEAT_PATH) Work.HEARTBEAT else Work.USER
        if (!controller(index).takes(kind)) return answer(Response(UNAVAILABLE, ByteArray(0)))
        // What its sender has given up on is dropped, as when its connection has gone.
        val isAwaited = { loop.nowNs - sentNs < request.timeoutMs * SimLoop.MS }
        var answers = 0
        val received = Request(request.method, request.path, "", request.body, isAwaited) { status, body, retryAfterS ->
            // On a kept connection a second answer would be taken for the next request's.
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
