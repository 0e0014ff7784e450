package flaxfield.jobs

/**
 * Where a task is recorded: this [attempt] may run on [machineName] until it is proven that it left.
 *
 * @property incarnation the worker's incarnation that the task was placed for: a newer one has lost the task
 * @property stopping whether the task is to stop and to go on elsewhere
 */
data class Placement(
    val index: Int,
    val attempt: Long,
    val machineName: String,
    val incarnation: ULong,
    val stopping: Boolean,
)
