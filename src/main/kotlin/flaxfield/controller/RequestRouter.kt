package flaxfield.controller

import flaxfield.codec.Cbor
import flaxfield.jobs.JobRequestHandler
import flaxfield.net.Body
import flaxfield.net.HttpStatus
import flaxfield.net.Request
import flaxfield.workers.HeartbeatHandler

/** Dispatches HTTP requests to the modules that handle them. */
internal class RequestRouter(
    private val heartbeats: HeartbeatHandler,
    private val jobs: JobRequestHandler,
    private val readiness: Readiness,
    /** Returns the response body of `GET /metrics`. */
    private val metricsText: () -> String,
) {
    fun route(request: Request) {
        val path = request.path
        when {
            path == ApiPath.HEARTBEAT ->
                requireMethod("POST", request) { heartbeats.handle(request.body, request.responder) }
            path == ApiPath.JOBS -> requireMethod("POST", request) { jobs.submit(request.body, request.responder) }
            path.startsWith(ApiPath.JOB_PREFIX) -> routeJob(request)
            path == ApiPath.READY -> requireMethod("GET", request) { sendReadiness(request) }
            path == ApiPath.METRICS -> requireMethod("GET", request) { sendMetrics(request) }
            else -> sendError(request, HttpStatus.NOT_FOUND, "no such path")
        }
    }

    private fun routeJob(request: Request) {
        val jobPath = request.path.removePrefix(ApiPath.JOB_PREFIX)
        if (request.path.endsWith(ApiPath.CANCEL_SUFFIX)) {
            requireMethod("POST", request) {
                jobs.cancel(jobPath.removeSuffix(ApiPath.CANCEL_SUFFIX), request.responder)
            }
        } else {
            requireMethod("GET", request) { jobs.status(jobPath, request.responder) }
        }
    }

    private inline fun requireMethod(method: String, request: Request, handle: () -> Unit) {
        if (request.method == method) {
            handle()
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
