package flaxfield.workers

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.jobs.Job
import flaxfield.jobs.TaskEvent
import flaxfield.store.PlacedTask
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class HeartbeatReconcilerTest {
    private val job = Samples.job().on(0 to "h")
    private val stopping = job.stop(listOf(0))
    private val cancelled = job.copy(cancelledMs = 5)
    private val running = task(TaskState.RUNNING)

    private fun task(state: TaskState, cause: EndCause? = null, attempt: ULong = 1uL) = TaskStatus("job-1", 0, attempt, state, cause)

    private fun heartbeat(vararg tasks: TaskStatus, incarnation: ULong = 1uL, fencingToken: ULong = 7uL) =
        Heartbeat("h", "10.0.0.1:1", "big", "a", false, incarnation, 1uL, fencingToken, null, tasks.toList())

    private fun decide(job: Job?, heartbeat: Heartbeat, mayLaunch: Boolean = true): ReconcileResult {
        val records = job?.allPlaced()?.map { PlacedTask(job, it) }?.toList().orEmpty()
        return HeartbeatReconciler.decide(heartbeat, records, 7uL, mayLaunch)
    }

    private val launch = WorkerCommand.Launch("job-1", 0, 1uL)
    private val gone = TaskEvent.Lost("job-1", 0, 1, "h", "absent", false)

    @Test
    fun `commands follow from records and heartbeat`() {
        val table = listOf<Triple<String, ReconcileResult, ReconcileResult>>(
            Triple(
                "recorded and absent: launch",
                decide(job, heartbeat()),
                ReconcileResult(listOf(launch), emptyList()),
            ),
            Triple(
                "no launch while the lease may be over",
                decide(job, heartbeat(), mayLaunch = false),
                ReconcileResult(emptyList(), emptyList()),
            ),
            Triple(
                "recorded and running: nothing",
                decide(job, heartbeat(running)),
                ReconcileResult(emptyList(), emptyList()),
            ),
            Triple(
                "not recorded and running: halt",
                decide(null, heartbeat(running)),
                ReconcileResult(listOf(WorkerCommand.Halt("job-1", 0, 1uL, 0.0)), emptyList()),
            ),
            Triple(
                "not recorded and ended: clear",
                decide(null, heartbeat(task(TaskState.ENDED, EndCause.DONE))),
                ReconcileResult(listOf(WorkerCommand.Clear("job-1", 0, 1uL)), emptyList()),
            ),
            Triple(
                "another attempt: halt it, launch ours",
                decide(job, heartbeat(task(TaskState.RUNNING, attempt = 9uL))),
                ReconcileResult(listOf(WorkerCommand.Halt("job-1", 0, 9uL, 0.0), launch), emptyList()),
            ),
            Triple(
                "stopping: halt with time to save",
                decide(stopping, heartbeat(running)),
                ReconcileResult(listOf(WorkerCommand.Halt("job-1", 0, 1uL, 3.0)), emptyList()),
            ),
            Triple(
                "stopping and saving: leave it",
                decide(stopping, heartbeat(task(TaskState.SAVING))),
                ReconcileResult(emptyList(), emptyList()),
            ),
            Triple(
                "cancelled: halt at once",
                decide(cancelled, heartbeat(task(TaskState.SAVING))),
                ReconcileResult(listOf(WorkerCommand.Halt("job-1", 0, 1uL, 0.0)), emptyList()),
            ),
            Triple(
                "cancelled and absent: gone",
                decide(cancelled, heartbeat()),
                ReconcileResult(emptyList(), listOf(gone)),
            ),
            Triple(
                "stopping and absent: gone",
                decide(stopping, heartbeat()),
                ReconcileResult(emptyList(), listOf(gone)),
            ),
        )
        for ((what, got, want) in table) assertEquals(want, got, what)
    }

    @Test
    fun `absence proves nothing under an older term or incarnation`() {
        // A launch of an earlier term may still be on its way to a worker that has not seen ours.
        assertEquals(ReconcileResult(emptyList(), emptyList()), decide(cancelled, heartbeat(fencingToken = 6uL)))
        val later = Samples.job().place(mapOf(0 to Job.Target("h", 2uL)))
        assertEquals(ReconcileResult(emptyList(), emptyList()), decide(later, heartbeat(incarnation = 1uL)))
    }

    @Test
    fun `a newer incarnation proves that the task is gone`() {
        val result = decide(job, heartbeat(incarnation = 2uL, fencingToken = 0uL))
        assertEquals(
            listOf(TaskEvent.Lost("job-1", 0, 1, "h", "tenure 2", false, outcomeUnknown = true)),
            result.events,
        )
        assertEquals(emptyList<WorkerCommand>(), result.commands)
    }

    @Test
    fun `every cause of an end has a decision, and clear waits for its commit`() {
        for (cause in EndCause.entries) {
            val result = decide(job, heartbeat(task(TaskState.ENDED, cause)))
            val want = if (cause == EndCause.DONE) {
                TaskEvent.Completed("job-1", 0, 1)
            } else {
                // Refused at its start, it never ran: no loss to its team's budget.
                val refused = cause in setOf(EndCause.NO_ROOM, EndCause.IN_USE, EndCause.UNKNOWN)
                TaskEvent.Lost("job-1", 0, 1, "h", cause.toString().lowercase(), cause == EndCause.ERROR, refused)
            }
            assertEquals(ReconcileResult(emptyList(), listOf(want)), result, cause.toString())
        }
    }

    @Test
    fun `what is cancelled is halted also where nothing may be decided`() {
        val halt = WorkerCommand.Halt("job-1", 0, 1uL, 0.0)
        fun records(job: Job) = job.allPlaced().map { PlacedTask(job, it) }.toList()
        val table = listOf<Triple<String, List<WorkerCommand>, List<WorkerCommand>>>(
            Triple(
                "cancelled",
                HeartbeatReconciler.cancellationHalts(heartbeat(running), records(cancelled)),
                listOf(halt),
            ),
            Triple(
                "under any term",
                HeartbeatReconciler.cancellationHalts(heartbeat(running, fencingToken = 3uL), records(cancelled)),
                listOf(halt),
            ),
            Triple(
                "not cancelled",
                HeartbeatReconciler.cancellationHalts(heartbeat(running), records(job)),
                emptyList(),
            ),
            Triple(
                "told to stop: a decision",
                HeartbeatReconciler.cancellationHalts(heartbeat(running), records(stopping)),
                emptyList(),
            ),
            Triple(
                "ended",
                HeartbeatReconciler.cancellationHalts(
                    heartbeat(task(TaskState.ENDED, EndCause.STOPPED)),
                    records(cancelled),
                ),
                emptyList(),
            ),
            Triple(
                "another attempt",
                HeartbeatReconciler.cancellationHalts(
                    heartbeat(task(TaskState.RUNNING, attempt = 9uL)),
                    records(cancelled),
                ),
                emptyList(),
            ),
            Triple("not there", HeartbeatReconciler.cancellationHalts(heartbeat(), records(cancelled)), emptyList()),
        )
        for ((what, got, want) in table) assertEquals(want, got, what)
    }

    @Test
    fun `a direct halt goes by the heartbeat, or by the record where the worker is quiet`() {
        val halt = WorkerCommand.Halt("job-1", 0, 1uL, 0.0)
        fun now(job: Job, heartbeat: Heartbeat?, quiet: Boolean, mayStop: Boolean = true) = HeartbeatReconciler.directHalts(
            job.allPlaced().map {
                PlacedTask(job, it)
            }.toList(),
            heartbeat,
            quiet,
            mayStop,
        )
        val table = listOf(
            Triple("shown", now(cancelled, heartbeat(running), quiet = false), listOf(halt)),
            Triple(
                "not shown by a worker that reports: its next heartbeat tells",
                now(cancelled, heartbeat(), quiet = false),
                emptyList(),
            ),
            Triple("not shown by a quiet one", now(cancelled, heartbeat(), quiet = true), listOf(halt)),
            Triple("never reported to us", now(cancelled, null, quiet = true), listOf(halt)),
            Triple("ended", now(cancelled, heartbeat(task(TaskState.ENDED, EndCause.DONE)), quiet = true), emptyList()),
            Triple(
                "told to stop",
                now(stopping, heartbeat(running), quiet = false),
                listOf(WorkerCommand.Halt("job-1", 0, 1uL, 3.0)),
            ),
            Triple(
                "told to stop, our lease is over",
                now(stopping, heartbeat(running), quiet = false, mayStop = false),
                emptyList(),
            ),
            Triple("told to stop, by record", now(stopping, null, quiet = true), emptyList()),
            Triple("to go on", now(job, heartbeat(running), quiet = true), emptyList()),
        )
        for ((what, got, want) in table) assertEquals(want, got, what)
    }
}
