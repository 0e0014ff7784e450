package flaxfield.jobs

/** What is proven about one attempt of a task, to be committed to its job's record. */
sealed interface TaskEvent {
    val job: String
    val index: Int
    val attempt: Long

    /** The attempt ran to its end. */
    data class Completed(override val job: String, override val index: Int, override val attempt: Long) : TaskEvent

    /** The attempt is surely not on [machineName] any more and did not complete. */
    data class Lost(
        override val job: String,
        override val index: Int,
        override val attempt: Long,
        val machineName: String,
        val reason: String,
        /** It ended with an error of its own. */
        val failed: Boolean,
        /** Its worker refused to start it: it never ran there. */
        val refused: Boolean = false,
        /** Whether it may have run to its end before it was gone: nobody has heard how it ended. */
        val outcomeUnknown: Boolean = false,
    ) : TaskEvent
}
