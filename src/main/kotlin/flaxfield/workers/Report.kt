package flaxfield.workers

import flaxfield.codec.MalformedException
import flaxfield.codec.MapReader
import flaxfield.codec.Wire
import flaxfield.jobs.JobCodec

enum class TaskState { PULLING, GATHERING, RUNNING, SAVING, ENDED }

/** Why a task ended, as its worker says. */
enum class EndCause { DONE, STOPPED, MATES_GONE, INCOMPLETE, ERROR, NO_ROOM, IN_USE, UNKNOWN }

data class ReportedTask(val job: String, val index: Int, val attempt: ULong, val state: TaskState, val cause: EndCause?)

/** What a worker says of itself at one moment; (`session`, `sequenceNumber`) orders the moments. */
data class Report(
    val host: String,
    val address: String,
    val machineType: String,
    val zone: String,
    val preemptible: Boolean,
    val session: ULong,
    val sequenceNumber: ULong,
    val epoch: ULong,
    val warningS: Double?,
    val tasks: List<ReportedTask>,
) {
    fun newerThan(session: ULong, sequenceNumber: ULong): Boolean =
        this.session > session || (this.session == session && this.sequenceNumber > sequenceNumber)
}

/** A command to a worker. */
sealed interface Order {
    val job: String
    val index: Int
    val attempt: ULong

    data class Launch(override val job: String, override val index: Int, override val attempt: ULong) : Order

    data class Halt(
        override val job: String,
        override val index: Int,
        override val attempt: ULong,
        val windDownS: Double,
    ) : Order

    data class Clear(override val job: String, override val index: Int, override val attempt: ULong) : Order
}

/** Wire forms of reports and orders. */
object ReportCodec {
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
    fun decode(body: ByteArray): Report = Wire.read(body, ::report)

    private fun report(map: MapReader): Report {
        var host: String? = null
        var address: String? = null
        var machineType: String? = null
        var zone: String? = null
        var preemptible: Boolean? = null
        var session: ULong? = null
        var sequenceNumber: ULong? = null
        var epoch: ULong? = null
        var warningS: Double? = null
        val tasks = ArrayList<ReportedTask>()
        map.eachField { name ->
            when (name) {
                "host" -> host = map.text()
                "address" -> address = map.text()
                "flavor" -> machineType = map.text()
                "site" -> zone = map.text()
                "lendable" -> preemptible = map.flag()
                "tenure" -> session = map.count()
                "tally" -> sequenceNumber = map.count()
                "epoch" -> epoch = map.count()
                "warning_s" -> warningS = map.number()
                "shards" -> map.eachMap { tasks += task(map) }
            }
        }
        return Report(
            host = host ?: missing("host"),
            address = address ?: missing("address"),
            machineType = machineType ?: missing("flavor"),
            zone = zone ?: missing("site"),
            preemptible = preemptible ?: missing("lendable"),
            session = session ?: missing("tenure"),
            sequenceNumber = sequenceNumber ?: missing("tally"),
            epoch = epoch ?: 0uL,
            warningS = warningS,
            tasks = tasks,
        )
    }

    private fun task(map: MapReader): ReportedTask {
        var name: String? = null
        var attempt: ULong? = null
        var phase: String? = null
        var why: String? = null
        map.eachField { field ->
            when (field) {
                "shard" -> name = map.text()
                "try" -> attempt = map.count()
                "phase" -> phase = map.text()
                "cause" -> why = map.text()
            }
        }
        val (job, index) = JobCodec.task(name ?: missing("shard")) ?: throw MalformedException("shard is invalid")
        val state = states[phase] ?: throw MalformedException("phase is invalid")
        // A cause we do not know is an end all the same: the task is taken as failed on its machine.
        val cause = if (state == TaskState.ENDED) causes[why] ?: EndCause.ERROR else null
        return ReportedTask(job, index, attempt ?: missing("try"), state, cause)
    }

    private fun missing(field: String): Nothing = throw MalformedException("$field is missing or invalid")

    fun encode(epoch: ULong, orders: List<Order>): Map<String, Any?> = mapOf(
        "epoch" to epoch,
        "orders" to orders.map(::order),
    )

    fun encodeDirect(epoch: ULong, session: ULong, orders: List<Order>): Map<String, Any?> =
        encode(epoch, orders) + mapOf("tenure" to session)

    private fun order(o: Order): Map<String, Any?> = buildMap {
        put(
            "verb",
            when (o) {
                is Order.Launch -> "launch"
                is Order.Halt -> "halt"
                is Order.Clear -> "clear"
            },
        )
        put("shard", JobCodec.taskName(o.job, o.index))
        put("try", o.attempt)
        if (o is Order.Halt) put("wind_down_s", o.windDownS)
    }
}
