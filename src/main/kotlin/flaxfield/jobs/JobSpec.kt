package flaxfield.jobs

/** How the tasks of a job belong together. */
enum class JobKind {
    /** Independent tasks, each of which runs to its end. */
    ARRAY,

    /** Tasks that run only all together. */
    GANG,

    /** Independent tasks that run until their user cancels them; placed like those of an array. */
    SERVICE,
}

/** From the least to the most urgent; a later one may preempt an earlier one. */
enum class Priority { IDLE, STANDARD, HIGH, PROD }

/** What a user submitted; it never changes. */
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
)
