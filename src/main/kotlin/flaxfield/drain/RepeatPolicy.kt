package flaxfield.drain

import flaxfield.jobs.JobSpec

/**
 * Whether running tasks of a job class may be stopped and restarted. The constants are ordered from the strictest, since
 * [FleetPolicy] applies the strictest policy where fleet files differ.
 */
enum class RepeatPolicy {
    /** Running tasks are never evicted: they run to completion. */
    NEVER,

    /** Only tasks that write checkpoints may be evicted. */
    CHECKPOINTED,

    /** Any task may be evicted. */
    ANY,
    ;

    /** Returns whether a drain may evict tasks of [spec]. */
    fun allows(spec: JobSpec): Boolean = this == ANY || this == CHECKPOINTED && spec.checkpointIntervalS > 0.0
}
