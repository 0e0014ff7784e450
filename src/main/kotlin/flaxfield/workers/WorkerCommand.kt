package flaxfield.workers

/** A command to a worker about one attempt of a task. */
sealed interface WorkerCommand {
    val job: String
    val index: Int
    val attempt: ULong

    /** Start the attempt. */
    data class Launch(override val job: String, override val index: Int, override val attempt: ULong) : WorkerCommand

    /** End the attempt; within [gracePeriodS] seconds it may save a checkpoint. */
    data class Halt(
        override val job: String,
        override val index: Int,
        override val attempt: ULong,
        val gracePeriodS: Double,
    ) : WorkerCommand

    /** Forget the attempt, which has ended and whose end is committed. */
    data class Clear(override val job: String, override val index: Int, override val attempt: ULong) : WorkerCommand
}
