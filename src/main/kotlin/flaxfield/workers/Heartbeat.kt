package flaxfield.workers

import flaxfield.codec.Cbor
import flaxfield.codec.MalformedException
import flaxfield.codec.MapReader
import flaxfield.jobs.JobCodec

enum class TaskState { PULLING, GATHERING, RUNNING, SAVING, ENDED }

/** Why a task ended, as its worker says. */
enum class EndCause { DONE, STOPPED, MATES_GONE, INCOMPLETE, ERROR, NO_ROOM, IN_USE, UNKNOWN }

data class TaskStatus(val job: String, val index: Int, val attempt: ULong, val state: TaskState, val cause: EndCause?)

/** What a worker says of itself at one moment; (`incarnation`, `sequenceNumber`) orders the moments. */
data class Heartbeat(
    val machineName: String,
    val address: String,
    val machineType: String,
    val zone: String,
    val preemptible: Boolean,
    val incarnation: ULong,
    val sequenceNumber: ULong,
    val fencingToken: ULong,
    val terminationNoticeS: Double?,
    val tasks: List<TaskStatus>,
) {
    fun newerThan(incarnation: ULong, sequenceNumber: ULong): Boolean =
        this.incarnation > incarnation || (this.incarnation == incarnation && this.sequenceNumber > sequenceNumber)
}

/** A command to a worker. */
sealed interface WorkerCommand {
    val job: String
    val index: Int
    val attempt: ULong

    data class Launch(override val job: String, override val index: Int, override val attempt: ULong) : WorkerCommand

    data class Halt(
        override val job: String,
        override val index: Int,
        override val attempt: ULong,
        val gracePeriodS: Double,
    ) : WorkerCommand

    data class Clear(override val job: String, override val index: Int, override val attempt: ULong) : WorkerCommand
}

/** Wire forms of reports and orders. */
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

    /** Reads a report; throws [MalformedException] for a missing or invalid field. */
    fun decode(body: ByteArray): Heartbeat = Cbor.read(body, ::heartbeat)

    private fun heartbeat(map: MapReader): Heartbeat {
        var machineName: String? = null
        var address: String? = null
        var machineType: String? = null
        var zone: String? = null
        var preemptible: Boolean? = null
        var incarnation: ULong? = null
        var sequenceNumber: ULong? = null
        var fencingToken: ULong? = null
        var terminationNoticeS: Double? = null
        val tasks = ArrayList<TaskStatus>()
        map.forEachField { name ->
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
        return Heartbeat(
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
        var why: String? = null
        map.forEachField { field ->
            when (field) {
                "shard" -> name = map.text()
                "try" -> attempt = map.unsigned()
                "phase" -> phase = map.text()
                "cause" -> why = map.text()
            }
        }
        val (job, index) = JobCodec.task(name ?: missing("shard")) ?: throw MalformedException("shard is invalid")
        val state = states[phase] ?: throw MalformedException("phase is invalid")
        // A cause we do not know is an end all the same: the task is taken as failed on its machine.
        val cause = if (state == TaskState.ENDED) causes[why] ?: EndCause.ERROR else null
        return TaskStatus(job, index, attempt ?: missing("try"), state, cause)
    }

    private fun missing(field: String): Nothing = throw MalformedException("$field is missing or invalid")

    fun encode(fencingToken: ULong, commands: List<WorkerCommand>): Map<String, Any?> = mapOf(
        "epoch" to fencingToken,
        "orders" to commands.map(::order),
    )

    fun encodeDirect(fencingToken: ULong, incarnation: ULong, commands: List<WorkerCommand>): Map<String, Any?> =
        encode(fencingToken, commands) + mapOf("tenure" to incarnation)

    private fun order(o: WorkerCommand): Map<String, Any?> = buildMap {
        put(
            "verb",
            when (o) {
                is WorkerCommand.Launch -> "launch"
                is WorkerCommand.Halt -> "halt"
                is WorkerCommand.Clear -> "clear"
            },
        )
        put("shard", JobCodec.taskName(o.job, o.index))
        put("try", o.attempt)
        if (o is WorkerCommand.Halt) put("wind_down_s", o.gracePeriodS)
    }
}
