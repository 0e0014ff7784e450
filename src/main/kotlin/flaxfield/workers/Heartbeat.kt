package flaxfield.workers

/** The state of a task on its machine, as its worker reports it. */
enum class TaskState {
    /** Pulling its image. */
    PULLING,

    /** Waiting for the other tasks of its gang. */
    GATHERING,
    RUNNING,

    /** Writing a checkpoint before it stops. */
    SAVING,
    ENDED,
}

/** The reason why a task ended, as its worker reports it. */
enum class EndCause {
    DONE,
    STOPPED,

    /** Another task of its gang ended. */
    MATES_GONE,

    /** Its gang did not become complete in time. */
    INCOMPLETE,
    ERROR,

    /** Not started: the machine has too few free resources. */
    NO_ROOM,

    /** Not started: another attempt of the task is on this machine. */
    IN_USE,

    /** Not started: the worker knows no such job or task. */
    UNKNOWN,
}

/** Identifies one attempt of a task. */
data class AttemptId(val job: String, val index: Int, val attempt: ULong)

/** The status of one task on a machine, as its worker reports it; [cause] is set if and only if the task has ended. */
data class TaskStatus(val job: String, val index: Int, val attempt: ULong, val state: TaskState, val cause: EndCause?)

/** A worker's report on its machine and tasks. A worker's heartbeats are ordered by (incarnation, sequence number). */
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
    /** Seconds until the cloud terminates the machine; null without a termination notice. */
    val terminationNoticeS: Double?,
    val tasks: List<TaskStatus>,
) {
    private val taskByAttempt: Map<AttemptId, TaskStatus> by lazy(LazyThreadSafetyMode.NONE) {
        tasks.associateBy { AttemptId(it.job, it.index, it.attempt) }
    }

    /** Returns the status of an attempt; null if this heartbeat does not report it. */
    fun task(attempt: AttemptId): TaskStatus? = taskByAttempt[attempt]

    /** Whether this heartbeat is newer than the one with the given incarnation and sequence number. */
    fun isNewerThan(incarnation: ULong, sequenceNumber: ULong): Boolean =
        this.incarnation > incarnation || (this.incarnation == incarnation && this.sequenceNumber > sequenceNumber)
}
