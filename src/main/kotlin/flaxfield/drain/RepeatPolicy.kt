package flaxfield.drain

import flaxfield.jobs.JobSpec

/** Whether running tasks of a class may be stopped and restarted, from the strictest policy to the most lenient. */
enum class RepeatPolicy {
    /** A running task is left to end by itself. */
    NEVER,

    /** Only tasks that write checkpoints may be stopped. */
    CHECKPOINTED,

    /** Any task may be stopped. */
    ANY,
    ;

    /** Whether a drain may stop tasks of [spec]. */
    fun allows(spec: JobSpec): Boolean = this == ANY || this == CHECKPOINTED && spec.checkpointIntervalS > 0.0
}
