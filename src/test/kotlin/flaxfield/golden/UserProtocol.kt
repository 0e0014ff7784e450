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

/** What users send, and what they are told. */
object UserProtocol {
    private const val OK = 200
    private const val NOT_FOUND = 404

    private val submissions = StoredSamples.shapesAndPriorities.map { spec ->
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

    private val faults = textOnly("submission-faults.txt") {
        val whole = JobCodec.encodeSpec(StoredSamples.fullSpec)
        val missing = whole.keys.joinToString("") { field -> "without $field: ${fault(whole - field)}\n" }
        val broken = whole.keys.joinToString("") { field -> "broken $field: ${fault(whole + (field to emptyMap<String, Any?>()))}\n" }
        missing + broken
    }

    private fun fault(map: Map<String, Any?>): String = try {
        JobCodec.decodeSpec(Cbor.decode(Cbor.encode(map)))
        "taken"
    } catch (e: MalformedException) {
        e.message.orEmpty()
    }

    private val replies = listOf(
        responder("reply-accepted") { handler, responder ->
            handler.submit(Cbor.encode(JobCodec.encodeSpec(StoredSamples.plainSpec)), responder)
        },
        responder("reply-known", NOT_FOUND) { handler, responder ->
            handler.submit(Cbor.encode(JobCodec.encodeSpec(knownSpec)), responder)
        },
        responder("reply-malformed") { handler, responder -> handler.submit(Cbor.encode(mapOf("id" to "x")), responder) },
        responder("reply-cancelled") { handler, responder -> handler.cancel(knownSpec.id, responder) },
    )

    private val knownSpec get() = StoredSamples.plainSpec.copy(id = "job-9")

    /** The requests that a user's request leads to, and what its user is told. */
    private fun responder(name: String, stateStatus: Int = OK, ask: (JobRequestHandler, Responder) -> Unit) = textOnly("$name.txt") {
        val calls = RecordingCalls.answering(stateStatus, Cbor.encode(mapOf("ledger" to 0)))
        val sample = ControllerSample(calls)
        sample.assign()
        sample.put(StoreKeys.MACHINE_TYPES, FleetCodec.encodeMachineTypes(StoredSamples.machineTypes, StoredSamples.TIME_MS))
        sample.put(StoreKeys.JOB + knownSpec.id, JobCodec.encodeHead(Samples.job(knownSpec).on(0 to "host-1")))
        val told = StringBuilder()
        ask(JobRequestHandler(sample.context) { null }) { status, body, retryAfterS ->
            told.append("status=$status type=${body.type} retry_after_s=$retryAfterS\n").append(HexText.of(body.bytes))
        }
        calls.text + "told\n" + told
    }

    val suite = GoldenSuite("users", submissions + statuses + faults + replies)
}
