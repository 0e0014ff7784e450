package flaxfield.workers

import flaxfield.jobs.Job
import flaxfield.jobs.TaskEvent
import flaxfield.jobs.TaskId
import flaxfield.store.PlacedTask

/** The result of a reconciliation: commands for the worker, and events to commit to the job records. */
data class ReconcileResult(val commands: List<WorkerCommand>, val events: List<TaskEvent>)

/**
 * Reconciles a worker's heartbeat with the task records. The records are the desired state, the heartbeat is the
 * observed state. All functions are pure.
 */
object HeartbeatReconciler {
    /**
     * Returns the commands and events that result from [heartbeat].
     *
     * @param records all task records on the machine
     * @param term the current term; a heartbeat with another fencing token does not prove that a task is absent
     * @param mayLaunch whether this process's lease is valid, its view is fresh and the machine is not being retired
     * @param mayWaitAgain whether a gang's task that has waited in vain for the other members is started again
     */
    fun decide(
        heartbeat: Heartbeat,
        records: List<PlacedTask>,
        term: ULong,
        mayLaunch: Boolean,
        mayWaitAgain: (PlacedTask) -> Boolean = { false },
    ): ReconcileResult {
        val commands = ArrayList<WorkerCommand>()
        val events = ArrayList<TaskEvent>()
        val recordById = records.associateBy(::idOf)
        val reported = HashSet<TaskId>()
        val capacity = HeartbeatCapacity()
        for (task in heartbeat.tasks) {
            val id = TaskId(task.job, task.index)
            val record = recordById[id]?.takeIf { attemptOf(it) == task.attempt }
            if (record == null) {
                commands += commandForUnrecorded(task)
                capacity.addUnrecorded(task)
                continue
            }
            reported += id
            capacity.add(record.job)
            when {
                task.state != TaskState.ENDED -> commands += listOfNotNull(halt(task, record))
                !isEndProven(task, heartbeat, term) -> Unit
                isRestartable(task, record, heartbeat, mayWaitAgain) -> commands += restart(task, record, mayLaunch)
                else -> events += endEvent(task, record, heartbeat.machineName)
            }
        }
        for (record in records) {
            if (idOf(record) in reported) continue
            lossOfAbsentTask(record, heartbeat, term)?.let { events += it }
            if (mayLaunch && mayStart(record, heartbeat, capacity)) commands += launch(record)
        }
        return ReconcileResult(CommandLimit.limit(commands), events)
    }

    private fun idOf(record: PlacedTask) = TaskId(record.job.id, record.placed.index)

    private fun attemptOf(record: PlacedTask) = record.placed.attempt.toULong()

    /**
     * Whether [heartbeat] proves that the ended [task] has left its machine. If its gang was incomplete, it may have been
     * started again since, unless the heartbeat is of the current term.
     */
    private fun isEndProven(task: TaskStatus, heartbeat: Heartbeat, term: ULong): Boolean =
        task.cause != EndCause.INCOMPLETE || heartbeat.fencingToken == term

    /**
     * Whether [task] ended because the other members of its gang were not there in time, and is still wanted. If it
     * counted as lost, the others would be stopped too, and an image fetch that is nearly complete would be given up.
     */
    private fun isRestartable(
        task: TaskStatus,
        record: PlacedTask,
        heartbeat: Heartbeat,
        mayWaitAgain: (PlacedTask) -> Boolean,
    ): Boolean = task.cause == EndCause.INCOMPLETE && mustLaunch(record, heartbeat) && mayWaitAgain(record)

    /** Returns the commands that start [task] again under the same attempt; none while launches are not allowed. */
    private fun restart(task: TaskStatus, record: PlacedTask, mayLaunch: Boolean): List<WorkerCommand> =
        if (mayLaunch) listOf(clear(task), launch(record)) else emptyList()

    private fun clear(task: TaskStatus) = WorkerCommand.Clear(task.job, task.index, task.attempt)

    /** Returns the command for a task without a record: its end is already committed, or it must not run here. */
    private fun commandForUnrecorded(task: TaskStatus): WorkerCommand = if (task.state == TaskState.ENDED) {
        clear(task)
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
     * Returns halts for the reported tasks of cancelled jobs only. Such a halt is valid under any term and without a
     * lease of this process.
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
        }.let(CommandLimit::limit)
    }

    /**
     * Returns the halts to send as a direct command. A cancelled task that is missing from [heartbeat] may have a
     * launch in flight, or an earlier owner may have launched it. With [heartbeatOverdue], the halt is based on the
     * task's record.
     */
    fun directHalts(
        records: List<PlacedTask>,
        heartbeat: Heartbeat?,
        heartbeatOverdue: Boolean,
        mayStop: Boolean,
    ): List<WorkerCommand.Halt> = records.mapNotNull { record ->
        val job = record.job
        if (!job.cancelled && !(mayStop && record.placed.stopping)) return@mapNotNull null
        val task = heartbeat?.task(AttemptId(job.id, record.placed.index, attemptOf(record)))?.takeUnless {
            // The response to that heartbeat may have started the attempt again.
            heartbeatOverdue && it.cause == EndCause.INCOMPLETE
        }
        when {
            task != null -> if (task.state == TaskState.ENDED) null else halt(task, record)
            job.cancelled && heartbeatOverdue -> WorkerCommand.Halt(job.id, record.placed.index, attemptOf(record), 0.0)
            else -> null
        }
    }.let(CommandLimit::limit)

    /** Returns the halt for a reported task, or null if the task needs none. */
    private fun halt(task: TaskStatus, record: PlacedTask): WorkerCommand.Halt? {
        val gracePeriodS = when {
            record.job.cancelled -> 0.0
            record.placed.stopping && task.state != TaskState.SAVING -> gracePeriodS(record.job)
            else -> return null
        }
        return WorkerCommand.Halt(task.job, task.index, task.attempt, gracePeriodS)
    }

    /** Returns the loss that the absence of a recorded task from [heartbeat] proves, or null if it proves none. */
    private fun lossOfAbsentTask(record: PlacedTask, heartbeat: Heartbeat, term: ULong): TaskEvent.Lost? {
        val placed = record.placed
        return when {
            // A worker kills all of its tasks and discards their status when it starts a new incarnation.
            heartbeat.incarnation > placed.incarnation ->
                lost(record, heartbeat, "tenure ${heartbeat.incarnation}", outcomeUnknown = true)
            heartbeat.incarnation < placed.incarnation || !mustEnd(record) -> null
            // A worker that knows the current term rejects launches of earlier terms. Launches of the current term were
            // delivered or lost before this heartbeat was sent, so the task is not on the machine.
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

    private fun mustEnd(record: PlacedTask): Boolean = record.job.cancelled || record.placed.stopping

    private fun mustLaunch(record: PlacedTask, heartbeat: Heartbeat): Boolean =
        heartbeat.incarnation == record.placed.incarnation && !mustEnd(record)

    /** Whether [record] must start now, and [capacity] has room to report it; if so, takes the room. */
    private fun mayStart(record: PlacedTask, heartbeat: Heartbeat, capacity: HeartbeatCapacity): Boolean =
        mustLaunch(record, heartbeat) && capacity.tryAdd(record.job)

    private fun launch(record: PlacedTask) = WorkerCommand.Launch(record.job.id, record.placed.index, attemptOf(record))

    /** The causes with which a worker refuses to start a task. */
    private val REFUSALS = setOf(EndCause.NO_ROOM, EndCause.IN_USE, EndCause.UNKNOWN)

    /** Returns the time that a task of [job] needs to save a checkpoint, or 0 if it saves none. */
    private fun gracePeriodS(job: Job): Double {
        val savesCheckpoints = job.spec.checkpointIntervalS > 0.0
        return if (savesCheckpoints) job.spec.checkpointDurationS * CHECKPOINT_MARGIN else 0.0
    }

    /** Margin factor: a checkpoint may take longer than the job's specification states. */
    private const val CHECKPOINT_MARGIN = 1.5
}
