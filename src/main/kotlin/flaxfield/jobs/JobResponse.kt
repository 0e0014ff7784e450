package flaxfield.jobs

import flaxfield.codec.Cbor
import flaxfield.net.Body
import flaxfield.net.HttpStatus
import flaxfield.net.Responder

/** What a user's request is answered with; its wire form is made in [send]. */
internal sealed interface JobResponse {
    /** A job that is not over. */
    data class Live(val job: Job) : JobResponse

    /** A job that is over. */
    data class Finished(val job: FinishedJob) : JobResponse

    /** A job that is accepted, with nothing known beyond that. */
    data class Pending(val id: String) : JobResponse

    /** The submission has been committed. */
    data class Accepted(val id: String) : JobResponse

    /** The job is over as far as a cancellation goes: [aborted], or done before it came. */
    data class Cancelled(val id: String, val aborted: Boolean) : JobResponse

    /** The request could not be decoded. */
    data class Malformed(val reason: String) : JobResponse

    /** No job with this id was ever accepted. */
    data object UnknownJob : JobResponse

    /** A well-formed job that can never run. */
    data class Rejected(val reason: String) : JobResponse

    /** No outcome is known: the user is to repeat the request. */
    data class Unavailable(val reason: String) : JobResponse
}

/** The reason of an unavailable response while the state service does not respond. */
internal const val STORE_SILENT = "the state service does not answer"
private const val RETRY_AFTER_S = 1

/** Sends [response] in its wire form. */
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
