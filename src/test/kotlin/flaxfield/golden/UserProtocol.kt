package flaxfield.golden

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.codec.Cbor
import flaxfield.codec.MalformedException
import flaxfield.fleet.FleetCodec
import flaxfield.golden.GoldenCases.encodeOnly
import flaxfield.golden.GoldenCases.record
import flaxfield.golden.GoldenCases.textOnly
import flaxfield.jobs.FinishedJob
import flaxfield.jobs.JobCodec
import flaxfield.jobs.JobRequestHandler
import flaxfield.net.Responder
import flaxfield.store.StoreKeys

/** The requests of users and the responses to them. */
object UserProtocol {
    private const val OK = 200
    private const val NOT_FOUND = 404

    private val submissions = StoredSamples.specsOfAllKinds.map { spec ->
        val name = "submission-${spec.jobKind.name.lowercase()}-${spec.priority.name.lowercase()}"
        record(name, spec, JobCodec::encodeSpec, JobCodec::decodeSpec)
    }

    private val job = Samples.job(StoredSamples.plainSpec)

    private val statuses = listOf(
        encodeOnly("status-pending") { JobCodec.status(job) },
        encodeOnly("status-running") { JobCodec.status(job.on(0 to "host-1", 1 to "host-2").finish(listOf(1))) },
        encodeOnly("status-cancelled") { JobCodec.status(job.copy(cancelledMs = 1).on(0 to "host-1")) },
        encodeOnly("status-done") { JobCodec.status(FinishedJob("job-1", aborted = false, done = 4)) },
        encodeOnly("status-aborted") { JobCodec.status(FinishedJob("job-1", aborted = true, done = 1)) },
    )

    private val invalidSubmissions = textOnly("invalid-submissions.txt") {
        val complete = JobCodec.encodeSpec(StoredSamples.fullSpec)
        val missing = complete.keys.joinToString("") { field -> "without $field: ${decodeResult(complete - field)}\n" }
        val broken = complete.keys.joinToString("") { field ->
            "broken $field: ${decodeResult(complete + (field to emptyMap<String, Any?>()))}\n"
        }
        missing + broken
    }

    private fun decodeResult(map: Map<String, Any?>): String = try {
        JobCodec.decodeSpec(Cbor.decode(Cbor.encode(map)))
        "taken"
    } catch (e: MalformedException) {
        e.message.orEmpty()
    }

    private val responses = listOf(
        response("response-accepted") { handler, responder ->
            handler.submit(Cbor.encode(JobCodec.encodeSpec(StoredSamples.plainSpec)), responder)
        },
        response("response-already-submitted", NOT_FOUND) { handler, responder ->
            handler.submit(Cbor.encode(JobCodec.encodeSpec(submittedSpec)), responder)
        },
        response("response-malformed") { handler, responder -> handler.submit(Cbor.encode(mapOf("id" to "x")), responder) },
        response("response-cancelled") { handler, responder -> handler.cancel(submittedSpec.id, responder) },
    )

    private val submittedSpec get() = StoredSamples.plainSpec.copy(id = "job-9")

    /** The requests to the state service that a user's request causes, and the response to the user. */
    private fun response(name: String, stateStatus: Int = OK, call: (JobRequestHandler, Responder) -> Unit) = textOnly("$name.txt") {
        val transport = RecordingTransport.responding(stateStatus, Cbor.encode(mapOf("ledger" to 0)))
        val controller = SampleController(transport)
        controller.assign()
        controller.put(StoreKeys.MACHINE_TYPES, FleetCodec.encodeMachineTypes(StoredSamples.machineTypes, StoredSamples.TIME_MS))
        controller.put(StoreKeys.JOB + submittedSpec.id, JobCodec.encodeHead(Samples.job(submittedSpec).on(0 to "host-1")))
        val response = StringBuilder()
        call(JobRequestHandler(controller.context) { null }) { status, body, retryAfterS ->
            response.append("status=$status type=${body.type} retry_after_s=$retryAfterS\n").append(HexText.of(body.bytes))
        }
        transport.text + "told\n" + response
    }

    val suite = GoldenSuite("users", submissions + statuses + invalidSubmissions + responses)
}
