package flaxfield.workers

import flaxfield.codec.Cbor
import flaxfield.codec.MalformedException
import flaxfield.codec.MapReader
import flaxfield.jobs.JobCodec

/**
 * Converts heartbeats and worker commands from and to their wire format. The field names of the worker protocol appear
 * only here. Heartbeats are decoded without an intermediate map, because hundreds of them arrive per second.
 */
object HeartbeatCodec {
    private val states = mapOf(
        "pulling" to TaskState.PULLING,
        "gathering" to TaskState.GATHERING,
        "running" to TaskState.RUNNING,
        "saving" to TaskState.SAVING,
        "ended" to TaskState.ENDED,
    )
    private val causes = mapOf(
        "done" to EndCause.DONE,
        "stopped" to EndCause.STOPPED,
        "mates_gone" to EndCause.MATES_GONE,
        "incomplete" to EndCause.INCOMPLETE,
        "error" to EndCause.ERROR,
        "no_room" to EndCause.NO_ROOM,
        "in_use" to EndCause.IN_USE,
        "unknown" to EndCause.UNKNOWN,
    )

    /** Decodes a heartbeat; throws [MalformedException] for a missing or invalid field. */
    fun decode(body: ByteArray): Heartbeat = Cbor.read(body, ::heartbeat)

    private fun heartbeat(map: MapReader): Heartbeat {
        val fields = HeartbeatFields()
        map.forEachField { name -> fields.read(name, map) }
        return fields.build()
    }

    /** Collects the fields of a heartbeat as they are decoded; a repeated field replaces the earlier one. */
    private class HeartbeatFields {
        private var machineName: String? = null
        private var address: String? = null
        private var machineType: String? = null
        private var zone: String? = null
        private var preemptible: Boolean? = null
        private var incarnation: ULong? = null
        private var sequenceNumber: ULong? = null
        private var fencingToken: ULong? = null
        private var terminationNoticeS: Double? = null
        private val tasks = ArrayList<TaskStatus>()

        fun read(name: String, map: MapReader) {
            when (name) {
                "host" -> machineName = map.text()
                "address" -> address = map.text()
                "flavor" -> machineType = map.text()
                "site" -> zone = map.text()
                "lendable" -> preemptible = map.boolean()
                "tenure" -> incarnation = map.unsigned()
                "tally" -> sequenceNumber = map.unsigned()
                "epoch" -> fencingToken = map.unsigned()
                "warning_s" -> terminationNoticeS = map.number()
                "shards" -> map.forEachMap { tasks += task(map) }
            }
        }

        fun build() = Heartbeat(
            machineName = machineName ?: missing("host"),
            address = address ?: missing("address"),
            machineType = machineType ?: missing("flavor"),
            zone = zone ?: missing("site"),
            preemptible = preemptible ?: missing("lendable"),
            incarnation = incarnation ?: missing("tenure"),
            sequenceNumber = sequenceNumber ?: missing("tally"),
            fencingToken = fencingToken ?: 0uL,
            terminationNoticeS = terminationNoticeS,
            tasks = tasks,
        )
    }

    private fun task(map: MapReader): TaskStatus {
        var name: String? = null
        var attempt: ULong? = null
        var phase: String? = null
        var causeName: String? = null
        map.forEachField { field ->
            when (field) {
                "shard" -> name = map.text()
                "try" -> attempt = map.unsigned()
                "phase" -> phase = map.text()
                "cause" -> causeName = map.text()
            }
        }
        val (job, index) = JobCodec.parseTaskId(name ?: missing("shard"))
            ?: throw MalformedException("shard is invalid")
        val state = states[phase] ?: throw MalformedException("phase is invalid")
        // The task has ended even if the cause is unknown; it then counts as failed on its machine.
        val cause = if (state == TaskState.ENDED) causes[causeName] ?: EndCause.ERROR else null
        return TaskStatus(job, index, attempt ?: missing("try"), state, cause)
    }

    private fun missing(field: String): Nothing = throw MalformedException("$field is missing or invalid")

    /** Encodes the response to a heartbeat: the term as the worker's fencing token, and the commands. */
    fun encode(fencingToken: ULong, commands: List<WorkerCommand>): Map<String, Any?> = mapOf(
        "epoch" to fencingToken,
        "orders" to commands.map(::encodeCommand),
    )

    /**
     * Encodes a direct command, sent without a heartbeat; a worker of another [incarnation] ignores it. It never
     * contains a launch: it may be executed late, when the task has been moved, has ended or is cancelled.
     */
    fun encodeDirect(fencingToken: ULong, incarnation: ULong, halts: List<WorkerCommand.Halt>): Map<String, Any?> =
        encode(fencingToken, halts) + mapOf("tenure" to incarnation)

    private fun encodeCommand(command: WorkerCommand): Map<String, Any?> = buildMap {
        put("verb", verb(command))
        put("shard", JobCodec.taskName(command.job, command.index))
        put("try", command.attempt)
        if (command is WorkerCommand.Halt) put("wind_down_s", command.gracePeriodS)
    }

    private fun verb(command: WorkerCommand): String = when (command) {
        is WorkerCommand.Launch -> "launch"
        is WorkerCommand.Halt -> "halt"
        is WorkerCommand.Clear -> "clear"
    }
}
