package flaxfield.jobs

/**
 * The record of a placed task: this [attempt] may run on [machineName] until its termination there is confirmed.
 *
 * @property incarnation the worker incarnation that the task was placed on; a newer incarnation has lost the task
 * @property stopping whether the task must stop, to be placed again elsewhere
 */
data class Placement(
    val index: Int,
    val attempt: Long,
    val machineName: String,
    val incarnation: ULong,
    val stopping: Boolean,
)
