package flaxfield.workers

import flaxfield.jobs.Job
import flaxfield.jobs.MessageSize

/**
 * Adds up the tasks that a worker's next heartbeat may report, so that no more are started than fit into it. Placements
 * apply the same limit. Records of a build that had none may exceed it: the rest then waits until other tasks have left,
 * or until the gang is placed again. Used for one heartbeat.
 */
internal class HeartbeatCapacity {
    private var freeBytes = MessageSize.MAX_CONTENT_BYTES

    /** Adds a reported task of [job]. */
    fun add(job: Job) {
        freeBytes -= job.spec.reportBytes
    }

    /** Adds a task that the worker reports although it is not recorded. If it has ended, it is cleared instead. */
    fun addUnrecorded(task: TaskStatus) {
        if (task.state == TaskState.ENDED) return
        freeBytes -= MessageSize.reportBytes(task.job, task.index, savesProgress = true)
    }

    /** Adds a task of [job] that is to be started; returns false if the next heartbeat can't report it. */
    fun tryAdd(job: Job): Boolean {
        if (freeBytes < job.spec.reportBytes) return false
        add(job)
        return true
    }
}

/** Limits the commands in one message to the size that PROTOCOL-flaxfield.md allows. Pure. */
internal object CommandLimit {
    /**
     * Returns the part of [commands] that fits into one message: halts first, then clears, then launches. The following
     * responses carry the others, since they are derived from the records again.
     */
    fun <C : WorkerCommand> limit(commands: List<C>): List<C> {
        if (commands.sumOf(::bytes) <= MessageSize.MAX_CONTENT_BYTES) return commands
        var freeBytes = MessageSize.MAX_CONTENT_BYTES
        return commands.sortedBy(::precedence).takeWhile { command ->
            freeBytes -= bytes(command)
            freeBytes >= 0
        }
    }

    private fun bytes(command: WorkerCommand): Int = MessageSize.commandBytes(command.job, command.index)

    private fun precedence(command: WorkerCommand): Int = when (command) {
        is WorkerCommand.Halt -> 0
        is WorkerCommand.Clear -> 1
        is WorkerCommand.Launch -> 2
    }
}
