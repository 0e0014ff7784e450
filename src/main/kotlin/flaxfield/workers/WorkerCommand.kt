package flaxfield.workers

/** A command to a worker about one attempt of a task. */
sealed interface WorkerCommand {
    val job: String
    val index: Int
    val attempt: ULong

    /** Starts the attempt. */
    data class Launch(override val job: String, override val index: Int, override val attempt: ULong) : WorkerCommand

    /** Ends the attempt; it may save a checkpoint within the grace period of [gracePeriodS] seconds. */
    data class Halt(
        override val job: String,
        override val index: Int,
        override val attempt: ULong,
        val gracePeriodS: Double,
    ) : WorkerCommand

    /** Makes the worker discard the status of the attempt, whose end has been committed. */
    data class Clear(override val job: String, override val index: Int, override val attempt: ULong) : WorkerCommand
}
