package flaxfield.jobs

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.codec.Cbor
import flaxfield.net.Body
import flaxfield.net.Responder
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class JobResponseTest {
    private class Row(val response: JobResponse, val status: Int, val message: Map<String, Any?>, val retryS: Int? = null)

    private fun status(phase: String, done: Int, running: Int) =
        mapOf("id" to "job-1", "phase" to phase, "done" to done, "running" to running)

    private val finished = FinishedJob("job-1", aborted = false, done = 4)
    private val rows = listOf(
        Row(JobResponse.Live(Samples.job()), 200, status("pending", 0, 0)),
        Row(JobResponse.Live(Samples.job().on(0 to "h")), 200, status("running", 0, 1)),
        Row(JobResponse.Live(Samples.job().on(0 to "h").copy(cancelledMs = 5)), 200, status("aborted", 0, 1)),
        Row(JobResponse.Finished(finished), 200, status("done", 4, 0)),
        Row(JobResponse.Finished(finished.copy(aborted = true, done = 1)), 200, status("aborted", 1, 0)),
        Row(JobResponse.Pending("job-1"), 200, mapOf("id" to "job-1", "phase" to "pending")),
        Row(JobResponse.Accepted("job-1"), 201, mapOf("id" to "job-1", "phase" to "pending")),
        Row(JobResponse.Cancelled("job-1", aborted = true), 200, mapOf("id" to "job-1", "phase" to "aborted")),
        Row(JobResponse.Cancelled("job-1", aborted = false), 200, mapOf("id" to "job-1", "phase" to "done")),
        Row(JobResponse.Malformed("id is invalid"), 400, mapOf("error" to "id is invalid")),
        Row(JobResponse.UnknownJob, 404, mapOf("error" to "no such job")),
        Row(JobResponse.Rejected("unknown team blue"), 422, mapOf("error" to "unknown team blue")),
        Row(JobResponse.Unavailable("the view lags"), 503, mapOf("error" to "the view lags"), retryS = 1),
    )

    @Test
    fun `encodes each response and sets the retry delay only on a retriable one`() {
        for (row in rows) {
            var sent = 0
            val responder = Responder { status, body, retryAfterS ->
                sent++
                assertEquals(row.status, status, "${row.response}")
                assertEquals(Body.CBOR, body.type, "${row.response}")
                assertArrayEquals(Cbor.encode(row.message), body.bytes, "${row.response}")
                assertEquals(row.retryS, retryAfterS, "${row.response}")
            }
            responder.send(row.response)
            assertEquals(1, sent, "${row.response}")
        }
    }
}
