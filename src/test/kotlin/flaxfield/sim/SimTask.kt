package flaxfield.sim

import flaxfield.jobs.JobSpec

/** The state of a task on a simulated machine. [wireName] is the value of `phase` in the worker's heartbeat. */
enum class SimTaskState(val wireName: String) {
    PULLING("pulling"),

    /** The task waits for the other members of its gang. */
    WAITING_FOR_GANG("gathering"),
    RUNNING("running"),
    CHECKPOINTING("saving"),
    ENDED("ended"),
}

/** The reason why a task ended. [wireName] is the value of `cause` in the worker's heartbeat. */
enum class SimTaskEndReason(val wireName: String) {
    DONE("done"),
    ERROR("error"),
    STOPPED("stopped"),

    /** The other members of the gang did not start in time. */
    GANG_INCOMPLETE("incomplete"),

    /** The gang has lost another member. */
    GANG_MEMBER_LOST("mates_gone"),

    /** The machine lacks free resources for the task. */
    NO_RESOURCES("no_room"),

    /** Another attempt of the task is still on the machine. */
    ALREADY_RUNNING("in_use"),
}

/** Identifies a task of a job across its attempts. */
data class TaskKey(val jobId: String, val index: Int)

/** Identifies one attempt of a task. */
data class AttemptKey(val task: TaskKey, val attempt: Long)

/** One attempt of a task on a simulated machine. */
class SimTask(val spec: JobSpec, val index: Int, val attempt: Long) {
    val key = TaskKey(spec.id, index)
    var state = SimTaskState.PULLING
    var endReason: SimTaskEndReason? = null

    /** Whether the task fails, as its machine was faulty when it started, or its job is. */
    var fails = false

    /** Time until the current [state] ends by itself, in seconds. */
    var remainingS = 0.0

    val isLive get() = state != SimTaskState.ENDED
}
