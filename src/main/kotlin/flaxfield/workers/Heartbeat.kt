package flaxfield.workers

/** What a task does on its machine, as its worker reports. */
enum class TaskState {
    /** Its image is being pulled. */
    PULLING,

    /** It waits for the other tasks of its gang. */
    GATHERING,
    RUNNING,

    /** It writes a checkpoint before it stops. */
    SAVING,
    ENDED,
}

/** Why a task ended, as its worker reports. */
enum class EndCause {
    DONE,
    STOPPED,

    /** Another task of its gang ended. */
    MATES_GONE,

    /** Its gang was not complete in time. */
    INCOMPLETE,
    ERROR,

    /** Not started: the machine's free resources do not suffice. */
    NO_ROOM,

    /** Not started: the task is on this machine with another attempt. */
    IN_USE,

    /** Not started: the worker knows no such job or task. */
    UNKNOWN,
}

/** One task on a machine, as its worker reports it; [cause] is set if and only if it has ended. */
data class TaskStatus(val job: String, val index: Int, val attempt: ULong, val state: TaskState, val cause: EndCause?)

/** What a worker reports of itself at one moment; (`incarnation`, `sequenceNumber`) orders the moments. */
data class Heartbeat(
    val machineName: String,
    val address: String,
    val machineType: String,
    val zone: String,
    val preemptible: Boolean,
    val incarnation: ULong,
    val sequenceNumber: ULong,
    /** The latest term that the worker knows; 0 if none. */
    val fencingToken: ULong,
    /** Seconds until the cloud takes the machine back; null without a notice. */
    val terminationNoticeS: Double?,
    val tasks: List<TaskStatus>,
) {
    /** Whether it is later than the worker's heartbeat with the given incarnation and sequence number. */
    fun newerThan(incarnation: ULong, sequenceNumber: ULong): Boolean =
        this.incarnation > incarnation || (this.incarnation == incarnation && this.sequenceNumber > sequenceNumber)
}
