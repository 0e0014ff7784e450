package flaxfield.jobs

import flaxfield.codec.Cbor
import flaxfield.net.Body
import flaxfield.net.HttpStatus
import flaxfield.net.Responder

/** The response to a user's request; [send] encodes it. */
internal sealed interface JobResponse {
    /** The status of an unfinished job. */
    data class Live(val job: Job) : JobResponse

    /** The status of a finished job. */
    data class Finished(val job: FinishedJob) : JobResponse

    /** The status of an accepted job whose record cannot be decoded. */
    data class Pending(val id: String) : JobResponse

    /** The submission has been committed. */
    data class Accepted(val id: String) : JobResponse

    /** The job is cancelled if [aborted]; otherwise it had completed before the cancellation arrived. */
    data class Cancelled(val id: String, val aborted: Boolean) : JobResponse

    /** The request could not be decoded. */
    data class Malformed(val reason: String) : JobResponse

    /** No job with this id was ever accepted. */
    data object UnknownJob : JobResponse

    /** The job is well-formed but can never run. */
    data class Rejected(val reason: String) : JobResponse

    /** The outcome is unknown; the user must repeat the request. */
    data class Unavailable(val reason: String) : JobResponse
}

/** The reason in an unavailable response while the state service does not respond. */
internal const val STORE_UNREACHABLE = "the state service does not answer"
private const val RETRY_AFTER_S = 1

/** Encodes and sends [response]. */
internal fun Responder.send(response: JobResponse) = when (response) {
    is JobResponse.Live -> send(HttpStatus.OK, JobCodec.status(response.job))
    is JobResponse.Finished -> send(HttpStatus.OK, JobCodec.status(response.job))
    is JobResponse.Pending -> send(HttpStatus.OK, phase(response.id, "pending"))
    is JobResponse.Accepted -> send(HttpStatus.CREATED, phase(response.id, "pending"))
    is JobResponse.Cancelled -> send(HttpStatus.OK, phase(response.id, if (response.aborted) "aborted" else "done"))
    is JobResponse.Malformed -> send(HttpStatus.BAD_REQUEST, error(response.reason))
    is JobResponse.UnknownJob -> send(HttpStatus.NOT_FOUND, error("no such job"))
    is JobResponse.Rejected -> send(HttpStatus.UNPROCESSABLE_CONTENT, error(response.reason))
    is JobResponse.Unavailable -> send(HttpStatus.SERVICE_UNAVAILABLE, error(response.reason), RETRY_AFTER_S)
}

private fun Responder.send(status: Int, message: Map<String, Any?>, retryAfterS: Int? = null) =
    send(status, Body(Cbor.encode(message), Body.CBOR), retryAfterS)

private fun phase(id: String, phase: String): Map<String, Any?> = mapOf("id" to id, "phase" to phase)

private fun error(reason: String): Map<String, Any?> = mapOf("error" to reason)
