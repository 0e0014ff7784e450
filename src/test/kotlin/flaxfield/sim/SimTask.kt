package flaxfield.sim

import flaxfield.jobs.JobSpec

/** What a task does on a simulated machine; [wireName] is the value of `phase` in the worker's heartbeat. */
enum class SimTaskState(val wireName: String) {
    PULLING("pulling"),

    /** A gang's member that waits for the others. */
    WAITING_FOR_GANG("gathering"),
    RUNNING("running"),
    CHECKPOINTING("saving"),
    ENDED("ended"),
}

/** Why a task ended; [wireName] is the value of `cause` in the worker's heartbeat. */
enum class SimTaskEnd(val wireName: String) {
    DONE("done"),
    ERROR("error"),
    STOPPED("stopped"),

    /** A gang's member whose gang was not complete in time. */
    GANG_INCOMPLETE("incomplete"),

    /** A gang's member whose gang has lost another member. */
    GANG_MEMBER_LOST("mates_gone"),

    /** The machine does not have the resources free that the task takes. */
    NO_RESOURCES("no_room"),

    /** Another attempt of the same task is still on the machine. */
    ALREADY_RUNNING("in_use"),
}

/** A task of a job, whatever its attempt. */
data class TaskKey(val jobId: String, val index: Int)

/** One attempt of a task. */
data class AttemptKey(val task: TaskKey, val attempt: Long)

/** One attempt of a task on a simulated machine. */
class SimTask(val spec: JobSpec, val index: Int, val attempt: Long) {
    val key = TaskKey(spec.id, index)
    var state = SimTaskState.PULLING
    var end: SimTaskEnd? = null

    /** Until the present [state] is over, as far as it is over by itself. */
    var remainingS = 0.0

    val isLive get() = state != SimTaskState.ENDED
}
