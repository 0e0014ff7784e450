package flaxfield.golden

import flaxfield.codec.Cbor
import flaxfield.golden.GoldenCases.decodeOnly
import flaxfield.golden.GoldenCases.encodeOnly
import flaxfield.golden.GoldenCases.textOnly
import flaxfield.settings.Address
import flaxfield.workers.DirectCommandSender
import flaxfield.workers.EndCause
import flaxfield.workers.Heartbeat
import flaxfield.workers.HeartbeatCodec
import flaxfield.workers.TaskState
import flaxfield.workers.TaskStatus
import flaxfield.workers.WorkerCommand

/** The heartbeats of workers and the responses and commands sent to them. */
object WorkerProtocol {
    private const val LARGE_COUNT = StoredSamples.LARGE_COUNT

    private val statesByWireName = mapOf(
        "pulling" to TaskState.PULLING,
        "gathering" to TaskState.GATHERING,
        "running" to TaskState.RUNNING,
        "saving" to TaskState.SAVING,
    )

    private val causesByWireName = mapOf(
        "done" to EndCause.DONE,
        "stopped" to EndCause.STOPPED,
        "mates_gone" to EndCause.MATES_GONE,
        "incomplete" to EndCause.INCOMPLETE,
        "error" to EndCause.ERROR,
        "no_room" to EndCause.NO_ROOM,
        "in_use" to EndCause.IN_USE,
        "unknown" to EndCause.UNKNOWN,
        // An undefined cause is decoded as an error.
        "not heard of" to EndCause.ERROR,
    )

    private val wireTasks =
        statesByWireName.keys.mapIndexed { i, phase -> mapOf("shard" to "job-1/$i", "try" to 3, "phase" to phase) } +
            causesByWireName.keys.mapIndexed { i, cause ->
                mapOf("shard" to "job-2/$i", "try" to LARGE_COUNT, "phase" to "ended", "cause" to cause)
            }

    private val decodedTasks = statesByWireName.values.mapIndexed { i, state -> TaskStatus("job-1", i, 3uL, state, null) } +
        causesByWireName.values.mapIndexed { i, cause -> TaskStatus("job-2", i, LARGE_COUNT, TaskState.ENDED, cause) }

    private val wireHeartbeat = mapOf(
        "host" to "host-1",
        "address" to "10.0.0.1:80",
        "flavor" to "big",
        "site" to "zone-a",
        "lendable" to true,
        "tenure" to LARGE_COUNT,
        "tally" to 12,
        "epoch" to 5,
        "warning_s" to 30.5,
        "shards" to wireTasks,
        "of a later version" to mapOf("x" to 1),
    )

    private val decodedHeartbeat =
        Heartbeat("host-1", "10.0.0.1:80", "big", "zone-a", true, LARGE_COUNT, 12uL, 5uL, 30.5, decodedTasks)

    private val heartbeats = listOf(
        decodeOnly("heartbeat", wireHeartbeat, decodedHeartbeat, HeartbeatCodec::decode),
        decodeOnly(
            "heartbeat-idle",
            wireHeartbeat - "epoch" - "warning_s" - "shards",
            decodedHeartbeat.copy(fencingToken = 0uL, terminationNoticeS = null, tasks = emptyList()),
            HeartbeatCodec::decode,
        ),
    )

    private val commands = listOf(
        WorkerCommand.Launch("job-1", 0, 3uL),
        WorkerCommand.Halt("job-1", 1, 4uL, 6.75),
        WorkerCommand.Halt("job-1", 2, 4uL, 0.0),
        WorkerCommand.Clear("job-2", 99_999, LARGE_COUNT),
    )

    private val halts = commands.filterIsInstance<WorkerCommand.Halt>()

    private val responses = listOf(
        encodeOnly("response-commands") { HeartbeatCodec.encode(LARGE_COUNT, commands) },
        encodeOnly("response-without-commands") { HeartbeatCodec.encode(5uL, emptyList()) },
        encodeOnly("direct-commands") { HeartbeatCodec.encodeDirect(5uL, LARGE_COUNT, halts) },
        encodeOnly("direct-without-commands") { HeartbeatCodec.encodeDirect(5uL, LARGE_COUNT, emptyList()) },
    )

    private val direct = textOnly("direct-request.txt") {
        val transport = RecordingTransport()
        val addresses = ArrayList<Address>()
        DirectCommandSender(timeoutMs = 700, maxInFlight = 4) { address -> transport.also { addresses += address } }
            .send("10.0.0.1:80", HeartbeatCodec.encodeDirect(5uL, 6uL, halts)) { it() }
        "to ${addresses.single()}\n" + transport.text
    }

    private val statusResponses = listOf(
        textOnly("redirect-to-owner.txt") { HeartbeatResponses.redirected() },
        textOnly("response-without-term.txt") { HeartbeatResponses.withoutAssignment() },
        textOnly("response-malformed.txt") { HeartbeatResponses.response(Cbor.encode(mapOf("host" to 3))) },
    )

    val suite = GoldenSuite("worker", heartbeats + responses + direct + statusResponses)
}
