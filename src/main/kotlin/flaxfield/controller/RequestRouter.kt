package flaxfield.controller

import flaxfield.codec.Cbor
import flaxfield.jobs.JobRequestHandler
import flaxfield.net.Body
import flaxfield.net.HttpStatus
import flaxfield.net.Request
import flaxfield.workers.HeartbeatHandler

/** Hands each HTTP request to the module that answers it. */
internal class RequestRouter(
    private val heartbeats: HeartbeatHandler,
    private val jobs: JobRequestHandler,
    private val readiness: Readiness,
    /** The text of `GET /metrics`. */
    private val metricsText: () -> String,
) {
    fun route(request: Request) {
        val path = request.path
        when {
            path == ApiPath.HEARTBEAT ->
                allow("POST", request) { heartbeats.heartbeat(request.body, request.responder) }
            path == ApiPath.JOBS -> allow("POST", request) { jobs.submit(request.body, request.responder) }
            path.startsWith(ApiPath.JOB_PREFIX) -> routeJob(request)
            path == ApiPath.READY -> allow("GET", request) { sendReadiness(request) }
            path == ApiPath.METRICS -> allow("GET", request) { sendMetrics(request) }
            else -> sendError(request, HttpStatus.NOT_FOUND, "no such path")
        }
    }

    private fun routeJob(request: Request) {
        val jobPath = request.path.removePrefix(ApiPath.JOB_PREFIX)
        if (request.path.endsWith(ApiPath.CANCEL_SUFFIX)) {
            allow("POST", request) { jobs.cancel(jobPath.removeSuffix(ApiPath.CANCEL_SUFFIX), request.responder) }
        } else {
            allow("GET", request) { jobs.status(jobPath, request.responder) }
        }
    }

    private inline fun allow(method: String, request: Request, answer: () -> Unit) {
        if (request.method == method) {
            answer()
        } else {
            sendError(request, HttpStatus.METHOD_NOT_ALLOWED, "only $method here")
        }
    }

    private fun sendReadiness(request: Request) {
        val status = if (readiness.isReady()) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE
        request.responder.send(status, Body.EMPTY, null)
    }

    private fun sendMetrics(request: Request) =
        request.responder.send(HttpStatus.OK, Body(metricsText().toByteArray(), "text/plain"), null)

    private fun sendError(request: Request, status: Int, message: String) =
        request.responder.send(status, Body(Cbor.encode(mapOf("error" to message)), Body.CBOR), null)
}
