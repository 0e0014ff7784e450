package flaxfield.jobs

/** How the tasks of a job depend on one another. */
enum class JobKind {
    /** Independent tasks, each of which runs to completion. */
    ARRAY,

    /** Tasks that run only if all of them run at the same time. */
    GANG,

    /** Independent tasks that run until the user cancels the job; placed like those of an array. */
    SERVICE,
}

/** Priorities from the least to the most urgent; a later one may preempt an earlier one. */
enum class Priority { IDLE, STANDARD, HIGH, PROD }

/**
 * A job as its user submitted it; it never changes. Sizes are in GB, times in seconds.
 *
 * @property taskResources what each task requests of its machine
 * @property image the container image that a machine must have pulled before a task starts
 * @property machineTypes the machine types that tasks may run on; null for any
 * @property zone the zone that tasks must run in; null for any
 * @property sameZone whether all tasks must run in one zone
 * @property spreadAcrossZones whether one zone may have at most half of the tasks, rounded up
 * @property preemptible whether tasks may run on preemptible machines
 * @property expectedRuntimeS how long a task runs, by the user's estimate
 * @property checkpointIntervalS how often a task saves a checkpoint; 0 if it does not
 * @property checkpointDurationS how long a checkpoint takes
 * @property deadlineS when the job should be complete, measured from its submission; null without a deadline
 */
data class JobSpec(
    val id: String,
    val jobClass: String,
    val team: String,
    val jobKind: JobKind,
    val priority: Priority,
    val taskCount: Int,
    val taskResources: Resources,
    val image: String,
    val imageGb: Double,
    val machineTypes: Set<String>?,
    val zone: String?,
    val sameZone: Boolean,
    val spreadAcrossZones: Boolean,
    val preemptible: Boolean,
    val expectedRuntimeS: Double,
    val checkpointIntervalS: Double,
    val checkpointDurationS: Double,
    val deadlineS: Double?,
) {
    /** The most bytes that one of its tasks takes in its machine's heartbeat. */
    val reportBytes: Int by lazy(LazyThreadSafetyMode.NONE) { MessageSize.reportBytes(this) }
}
