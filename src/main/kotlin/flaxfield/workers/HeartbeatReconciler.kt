package flaxfield.workers

import flaxfield.jobs.Job
import flaxfield.jobs.TaskEvent
import flaxfield.jobs.TaskId
import flaxfield.store.PlacedTask

/** What a heartbeat leads to: commands for its worker, and events to be committed to the job records. */
data class ReconcileResult(val commands: List<WorkerCommand>, val events: List<TaskEvent>)

/**
 * Reconciles a worker's heartbeat with the task records: the records are the desired state, the heartbeat is the
 * observed one. Pure functions.
 */
object HeartbeatReconciler {
    /**
     * How many task records a machine may have. A heartbeat lists as many tasks again that have ended and are not
     * cleared yet, some 70 bytes each, and a message must fit 64 KiB: a larger one is lost, and the lease with it.
     */
    const val MAX_TASKS_PER_MACHINE = 300

    /**
     * Decides what follows from [heartbeat].
     *
     * @param records all task records on the machine
     * @param term the current term; a heartbeat under another fencing token proves no absence
     * @param mayLaunch whether this process's own lease is surely valid and the machine is kept
     */
    fun decide(heartbeat: Heartbeat, records: List<PlacedTask>, term: ULong, mayLaunch: Boolean): ReconcileResult {
        val commands = ArrayList<WorkerCommand>()
        val events = ArrayList<TaskEvent>()
        val recordById = records.associateBy(::idOf)
        val reported = HashSet<TaskId>()
        for (task in heartbeat.tasks) {
            val id = TaskId(task.job, task.index)
            val record = recordById[id]?.takeIf { attemptOf(it) == task.attempt }
            if (record == null) {
                commands += commandForUnrecorded(task)
                continue
            }
            reported += id
            if (task.state == TaskState.ENDED) {
                events += endEvent(task, record, heartbeat.machineName)
            } else {
                halt(task, record)?.let { commands += it }
            }
        }
        for (record in records) {
            if (idOf(record) in reported) continue
            lossOfAbsent(record, heartbeat, term)?.let { events += it }
            if (mayLaunch && isToLaunch(record, heartbeat)) commands += launch(record)
        }
        return ReconcileResult(commands, events)
    }

    private fun idOf(record: PlacedTask) = TaskId(record.job.id, record.placed.index)

    private fun attemptOf(record: PlacedTask) = record.placed.attempt.toULong()

    /** A task without a record: either its end is committed, or it must not run here. */
    private fun commandForUnrecorded(task: TaskStatus): WorkerCommand = if (task.state == TaskState.ENDED) {
        WorkerCommand.Clear(task.job, task.index, task.attempt)
    } else {
        WorkerCommand.Halt(task.job, task.index, task.attempt, 0.0)
    }

    private fun endEvent(task: TaskStatus, record: PlacedTask, machineName: String): TaskEvent {
        val attempt = record.placed.attempt
        if (task.cause == EndCause.DONE) return TaskEvent.Completed(task.job, task.index, attempt)
        return TaskEvent.Lost(
            task.job,
            task.index,
            attempt,
            machineName,
            task.cause.toString().lowercase(),
            failed = task.cause == EndCause.ERROR,
            refused = task.cause in REFUSALS,
        )
    }

    /**
     * Halts for tasks of jobs that the view has as cancelled, and nothing else: such a command is right under any term
     * and without a lease.
     */
    fun cancellationHalts(heartbeat: Heartbeat, records: List<PlacedTask>): List<WorkerCommand> {
        val cancelledById = records.filter { it.job.cancelled }.associateBy(::idOf)
        if (cancelledById.isEmpty()) return emptyList()
        return heartbeat.tasks.mapNotNull { task ->
            val record = cancelledById[TaskId(task.job, task.index)]
            if (record == null || attemptOf(record) != task.attempt || task.state == TaskState.ENDED) {
                null
            } else {
                halt(task, record)
            }
        }
    }

    /**
     * What to halt now by a direct command. A task that [heartbeat] does not show may be on its way to the machine, or
     * have been started by the response of an earlier owner: if the machine is [quiet] it is halted by its record.
     */
    fun directHalts(
        records: List<PlacedTask>,
        heartbeat: Heartbeat?,
        quiet: Boolean,
        mayStop: Boolean,
    ): List<WorkerCommand.Halt> = records.mapNotNull { record ->
        val job = record.job
        if (!job.cancelled && !(mayStop && record.placed.stopping)) return@mapNotNull null
        val task = heartbeat?.tasks?.firstOrNull {
            it.job == job.id && it.index == record.placed.index && it.attempt == attemptOf(record)
        }
        when {
            task != null -> if (task.state == TaskState.ENDED) null else halt(task, record)
            job.cancelled && quiet -> WorkerCommand.Halt(job.id, record.placed.index, attemptOf(record), 0.0)
            else -> null
        }
    }

    /** The halt that a task on its machine should get, or null if it is to go on. */
    private fun halt(task: TaskStatus, record: PlacedTask): WorkerCommand.Halt? {
        val gracePeriodS = when {
            record.job.cancelled -> 0.0
            record.placed.stopping && task.state != TaskState.SAVING -> gracePeriodS(record.job)
            else -> return null
        }
        return WorkerCommand.Halt(task.job, task.index, task.attempt, gracePeriodS)
    }

    /** What the absence of a recorded task from [heartbeat] proves; null if nothing. */
    private fun lossOfAbsent(record: PlacedTask, heartbeat: Heartbeat, term: ULong): TaskEvent.Lost? {
        val placed = record.placed
        return when {
            // A newer incarnation: the worker has killed and forgotten all that it had.
            heartbeat.incarnation > placed.incarnation ->
                lost(record, heartbeat, "tenure ${heartbeat.incarnation}", outcomeUnknown = true)
            heartbeat.incarnation < placed.incarnation || !isToEnd(record) -> null
            // Launches of earlier terms can't arrive any more, and ours have been answered: it is not here.
            heartbeat.fencingToken == term -> lost(record, heartbeat, "absent", outcomeUnknown = false)
            else -> null
        }
    }

    private fun lost(record: PlacedTask, heartbeat: Heartbeat, reason: String, outcomeUnknown: Boolean) =
        TaskEvent.Lost(
            record.job.id,
            record.placed.index,
            record.placed.attempt,
            heartbeat.machineName,
            reason,
            failed = false,
            outcomeUnknown = outcomeUnknown,
        )

    private fun isToEnd(record: PlacedTask): Boolean = record.job.cancelled || record.placed.stopping

    private fun isToLaunch(record: PlacedTask, heartbeat: Heartbeat): Boolean =
        heartbeat.incarnation == record.placed.incarnation && !isToEnd(record)

    private fun launch(record: PlacedTask) = WorkerCommand.Launch(record.job.id, record.placed.index, attemptOf(record))

    /** Why a worker does not start a task at all. */
    private val REFUSALS = setOf(EndCause.NO_ROOM, EndCause.IN_USE, EndCause.UNKNOWN)

    /** Enough for the task to save a checkpoint, if it has any. */
    private fun gracePeriodS(job: Job): Double {
        val savesCheckpoints = job.spec.checkpointIntervalS > 0.0
        return if (savesCheckpoints) job.spec.checkpointDurationS * CHECKPOINT_MARGIN else 0.0
    }

    /** A checkpoint may take a little longer than the job's specification says. */
    private const val CHECKPOINT_MARGIN = 1.5
}
