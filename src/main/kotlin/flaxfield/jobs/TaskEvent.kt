package flaxfield.jobs

/** A confirmed fact about one attempt of a task, to be committed to its job's record. */
sealed interface TaskEvent {
    val job: String
    val index: Int
    val attempt: Long

    /** The attempt ran to completion. */
    data class Completed(override val job: String, override val index: Int, override val attempt: Long) : TaskEvent

    /** The attempt is proven to have left [machineName], and is not known to have completed. */
    data class Lost(
        override val job: String,
        override val index: Int,
        override val attempt: Long,
        val machineName: String,
        val reason: String,
        /** Whether it ended with an error of its own. */
        val failed: Boolean,
        /** Whether its worker refused to start it, so that it never ran there. */
        val refused: Boolean = false,
        /** Whether it may have completed before it left the machine: no controller received its outcome. */
        val outcomeUnknown: Boolean = false,
    ) : TaskEvent
}
