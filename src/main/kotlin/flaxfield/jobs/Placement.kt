package flaxfield.jobs

/** A task's recorded place: it may be on [machineName] until proof that it left. */
data class Placement(
    val index: Int,
    val attempt: Long,
    val machineName: String,
    val incarnation: ULong,
    val stopping: Boolean,
)
