package flaxfield.jobs

import flaxfield.BYTES_PER_KIB

/**
 * The sizes that tasks take in the messages between a worker and the controllers, in bytes of the JSON form that
 * PROTOCOL-flaxfield.md counts. A heartbeat above the limit is rejected, and its worker then loses its lease. All who
 * place tasks on a machine, rent machines for tasks or start tasks apply the same limit. Pure.
 */
object MessageSize {
    /** PROTOCOL-flaxfield.md: the maximum size of a request, and of a response to a worker. */
    const val MAX_MESSAGE_BYTES = 64 * BYTES_PER_KIB

    /** The part of a message for its own fields, such as the names of the machine and its type. */
    private const val ENVELOPE_BYTES = 1_024

    /** The part of a message that its tasks or commands may take. */
    const val MAX_CONTENT_BYTES = MAX_MESSAGE_BYTES - ENVELOPE_BYTES

    /** The digits of an attempt number for which room is kept. */
    private const val ATTEMPT_DIGITS = 3

    /** A task that has ended, without its name and attempt; no other state takes more. */
    private const val ENDED_TASK = """{"shard":"/","try":,"phase":"ended","cause":"incomplete"},"""

    /** What a task that has saved its progress reports in addition. */
    private const val PROGRESS_KEPT = ""","kept":true"""

    /** A halt, the longest command, without the names and numbers in it. */
    private const val HALT_COMMAND = """{"verb":"launch","shard":"/","try":,"wind_down_s":},"""

    /** The digits of the longest grace period in a halt. */
    private const val GRACE_PERIOD_DIGITS = 8

    /** Returns the most bytes that a task of [spec] takes in a heartbeat, in any state. */
    fun reportBytes(spec: JobSpec): Int =
        reportBytes(spec.id, spec.taskCount - 1, savesProgress = spec.checkpointIntervalS > 0.0)

    /** Returns the most bytes that the task [index] of [jobId] takes in a heartbeat, in any state. */
    fun reportBytes(jobId: String, index: Int, savesProgress: Boolean): Int {
        val kept = if (savesProgress) PROGRESS_KEPT.length else 0
        return ENDED_TASK.length + kept + nameBytes(jobId, index) + ATTEMPT_DIGITS
    }

    /** Returns the most bytes that a command about the task [index] of [jobId] takes. */
    fun commandBytes(jobId: String, index: Int): Int =
        HALT_COMMAND.length + nameBytes(jobId, index) + ATTEMPT_DIGITS + GRACE_PERIOD_DIGITS

    private fun nameBytes(jobId: String, index: Int): Int = jobId.length + index.toString().length
}
