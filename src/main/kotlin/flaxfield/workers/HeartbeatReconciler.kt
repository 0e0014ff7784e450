package flaxfield.workers

import flaxfield.jobs.Job
import flaxfield.jobs.TaskEvent
import flaxfield.store.PlacedTask

/** What a report leads to: orders for its worker, and proofs to be committed to the job records. */
data class ReconcileResult(val commands: List<WorkerCommand>, val events: List<TaskEvent>)

/** Pure decisions on one worker's report: the records are what should be, the report is what is. */
object HeartbeatReconciler {
    /**
     * So many records a machine may carry. A report tells of as many tasks again that have ended and are not cleared
     * yet, some 70 bytes each, and what is sent to us or by us must fit 64 KiB: one that does not is lost, and its
     * lease too.
     */
    const val MAX_TASKS = 300

    /**
     * @param records all task records on the host
     * @param term the current term; a report under another epoch proves no absence
     * @param mayLaunch whether this node's own lease is surely valid and the machine is kept
     */
    fun decide(heartbeat: Heartbeat, records: List<PlacedTask>, term: ULong, mayLaunch: Boolean): ReconcileResult {
        val commands = ArrayList<WorkerCommand>()
        val events = ArrayList<TaskEvent>()
        val byTask = records.associateBy { it.job.id to it.placed.index }
        val existingKeys = HashSet<Pair<String, Int>>()
        for (t in heartbeat.tasks) {
            val record = byTask[t.job to t.index]?.takeIf { it.placed.attempt.toULong() == t.attempt }
            if (record == null) {
                commands += unrecorded(t)
            } else {
                existingKeys += t.job to t.index
                recorded(t, record, heartbeat.machineName, commands, events)
            }
        }
        for (r in records) {
            if ((r.job.id to r.placed.index) in existingKeys) continue
            absent(r, heartbeat, term, mayLaunch, commands, events)
        }
        return ReconcileResult(commands, events)
    }

    /** Not in the records: either its end is committed, or it must not be here. */
    private fun unrecorded(t: TaskStatus): WorkerCommand = if (t.state ==
        TaskState.ENDED
    ) {
        WorkerCommand.Clear(t.job, t.index, t.attempt)
    } else {
        WorkerCommand.Halt(t.job, t.index, t.attempt, 0.0)
    }

    private fun recorded(
        t: TaskStatus,
        r: PlacedTask,
        machineName: String,
        commands: MutableList<WorkerCommand>,
        events: MutableList<TaskEvent>,
    ) {
        when {
            t.state == TaskState.ENDED -> events += when (t.cause) {
                EndCause.DONE -> TaskEvent.Completed(t.job, t.index, r.placed.attempt)
                else -> TaskEvent.Lost(
                    t.job,
                    t.index,
                    r.placed.attempt,
                    machineName,
                    t.cause.toString().lowercase(),
                    failed = t.cause == EndCause.ERROR,
                    refused = t.cause in REFUSALS,
                )
            }
            else -> halt(t, r)?.let { commands += it }
        }
    }

    /**
     * Halts of what the view knows as cancelled, and nothing else: such an order is right under any term and without a
     * lease.
     */
    fun cancelled(heartbeat: Heartbeat, records: List<PlacedTask>): List<WorkerCommand> {
        val off = records.filter { it.job.cancelled }.associateBy { it.job.id to it.placed.index }
        if (off.isEmpty()) return emptyList()
        return heartbeat.tasks.mapNotNull { t ->
            off[t.job to t.index]?.takeIf {
                it.placed.attempt.toULong() == t.attempt && t.state != TaskState.ENDED
            }?.let { halt(t, it) }
        }
    }

    /**
     * What to halt now by a direct command. A task that [heartbeat] does not show may be on its way there, or have been
     * started by an answer to an earlier owner: if the machine is [quiet] it is halted by its record.
     */
    fun haltsNow(
        records: List<PlacedTask>,
        heartbeat: Heartbeat?,
        quiet: Boolean,
        mayStop: Boolean,
    ): List<WorkerCommand.Halt> = records.mapNotNull { r ->
        if (!r.job.cancelled && !(mayStop && r.placed.stopping)) return@mapNotNull null
        val attempt = r.placed.attempt.toULong()
        val t = heartbeat?.tasks?.firstOrNull {
            it.job == r.job.id &&
                it.index == r.placed.index &&
                it.attempt == attempt
        }
        when {
            t != null -> if (t.state == TaskState.ENDED) null else halt(t, r)
            r.job.cancelled && quiet -> WorkerCommand.Halt(r.job.id, r.placed.index, attempt, 0.0)
            else -> null
        }
    }

    /** The halt that a task on its machine should get, or null if it is to go on. */
    fun halt(t: TaskStatus, r: PlacedTask): WorkerCommand.Halt? = when {
        r.job.cancelled -> WorkerCommand.Halt(t.job, t.index, t.attempt, 0.0)
        r.placed.stopping && t.state != TaskState.SAVING -> WorkerCommand.Halt(
            t.job,
            t.index,
            t.attempt,
            gracePeriod(r.job),
        )
        else -> null
    }

    private fun absent(
        r: PlacedTask,
        heartbeat: Heartbeat,
        term: ULong,
        mayLaunch: Boolean,
        commands: MutableList<WorkerCommand>,
        events: MutableList<TaskEvent>,
    ) {
        val p = r.placed
        when {
            // A newer session: the worker has killed and forgotten all that it had.
            heartbeat.incarnation > p.incarnation ->
                events +=
                    TaskEvent.Lost(
                        r.job.id,
                        p.index,
                        p.attempt,
                        heartbeat.machineName,
                        "tenure ${heartbeat.incarnation}",
                        false,
                        outcomeUnknown = true,
                    )
            heartbeat.incarnation < p.incarnation -> Unit
            // Launches of earlier terms can't arrive any more, and ours have been answered: it is not here.
            r.job.cancelled || p.stopping -> if (heartbeat.fencingToken == term) {
                events += TaskEvent.Lost(r.job.id, p.index, p.attempt, heartbeat.machineName, "absent", false)
            }
            mayLaunch -> commands += WorkerCommand.Launch(r.job.id, p.index, p.attempt.toULong())
        }
    }

    /** Why a worker does not start a task at all. */
    private val REFUSALS = setOf(EndCause.NO_ROOM, EndCause.IN_USE, EndCause.UNKNOWN)

    /** Enough for the task to save, if it can at all. */
    private fun gracePeriod(job: Job): Double = if (job.spec.checkpointIntervalS >
        0.0
    ) {
        job.spec.checkpointDurationS * SAVE_MARGIN
    } else {
        0.0
    }

    /** Saving may take a little longer than its owner says. */
    private const val SAVE_MARGIN = 1.5
}
