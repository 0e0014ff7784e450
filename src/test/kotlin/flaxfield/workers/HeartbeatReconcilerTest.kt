package flaxfield.workers

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.codec.Cbor
import flaxfield.jobs.Job
import flaxfield.jobs.TaskEvent
import flaxfield.sim.SimMessageSize
import flaxfield.store.PlacedTask
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class HeartbeatReconcilerTest {
    private val job = Samples.job().on(0 to "h")
    private val stopping = job.stop(listOf(0))
    private val cancelled = job.copy(cancelledMs = 5)
    private val running = task(TaskState.RUNNING)
    private val incomplete = task(TaskState.ENDED, EndCause.INCOMPLETE)

    private fun task(state: TaskState, cause: EndCause? = null, attempt: ULong = 1uL) = TaskStatus("job-1", 0, attempt, state, cause)

    private fun heartbeat(vararg tasks: TaskStatus, incarnation: ULong = 1uL, fencingToken: ULong = 7uL) =
        Heartbeat("h", "10.0.0.1:1", "big", "a", false, incarnation, 1uL, fencingToken, null, tasks.toList())

    private fun decide(
        job: Job?,
        heartbeat: Heartbeat,
        mayLaunch: Boolean = true,
        mayWaitAgain: (PlacedTask) -> Boolean = { false },
    ): ReconcileResult {
        val records = job?.allPlaced()?.map { PlacedTask(job, it) }?.toList().orEmpty()
        return HeartbeatReconciler.decide(heartbeat, records, 7uL, mayLaunch, mayWaitAgain)
    }

    private val launch = WorkerCommand.Launch("job-1", 0, 1uL)
    private val lost = TaskEvent.Lost("job-1", 0, 1, "h", "absent", false)

    @Test
    fun `decides commands and events from records and heartbeat`() {
        val table = listOf<Triple<String, ReconcileResult, ReconcileResult>>(
            Triple(
                "recorded and absent: launch",
                decide(job, heartbeat()),
                ReconcileResult(listOf(launch), emptyList()),
            ),
            Triple(
                "absent while launches are not allowed: no command",
                decide(job, heartbeat(), mayLaunch = false),
                ReconcileResult(emptyList(), emptyList()),
            ),
            Triple(
                "recorded and running: no command",
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
                "gang incomplete while another member fetches the image: start the same attempt again",
                decide(job, heartbeat(incomplete)) { true },
                ReconcileResult(listOf(WorkerCommand.Clear("job-1", 0, 1uL), launch), emptyList()),
            ),
            Triple(
                "gang incomplete while launches are not allowed: wait",
                decide(job, heartbeat(incomplete), mayLaunch = false) { true },
                ReconcileResult(emptyList(), emptyList()),
            ),
            Triple(
                "gang incomplete for too long: lost",
                decide(job, heartbeat(incomplete)),
                ReconcileResult(emptyList(), listOf(lost.copy(reason = "incomplete"))),
            ),
            // An old heartbeat that reaches a new owner: the attempt may have been started again since.
            Triple(
                "gang incomplete under an older term: no proof",
                decide(stopping, heartbeat(incomplete, fencingToken = 6uL)),
                ReconcileResult(emptyList(), emptyList()),
            ),
            Triple(
                "gang incomplete and stopping: lost",
                decide(stopping, heartbeat(incomplete)) { true },
                ReconcileResult(emptyList(), listOf(lost.copy(reason = "incomplete"))),
            ),
            Triple(
                "gang incomplete and cancelled: lost",
                decide(cancelled, heartbeat(incomplete)) { true },
                ReconcileResult(emptyList(), listOf(lost.copy(reason = "incomplete"))),
            ),
            Triple(
                "another attempt: halt it, launch the recorded one",
                decide(job, heartbeat(task(TaskState.RUNNING, attempt = 9uL))),
                ReconcileResult(listOf(WorkerCommand.Halt("job-1", 0, 9uL, 0.0), launch), emptyList()),
            ),
            Triple(
                "stopping: halt with a grace period",
                decide(stopping, heartbeat(running)),
                ReconcileResult(listOf(WorkerCommand.Halt("job-1", 0, 1uL, 3.0)), emptyList()),
            ),
            Triple(
                "stopping and saving: no command",
                decide(stopping, heartbeat(task(TaskState.SAVING))),
                ReconcileResult(emptyList(), emptyList()),
            ),
            Triple(
                "cancelled: halt without a grace period",
                decide(cancelled, heartbeat(task(TaskState.SAVING))),
                ReconcileResult(listOf(WorkerCommand.Halt("job-1", 0, 1uL, 0.0)), emptyList()),
            ),
            Triple(
                "cancelled and absent: lost",
                decide(cancelled, heartbeat()),
                ReconcileResult(emptyList(), listOf(lost)),
            ),
            Triple(
                "stopping and absent: lost",
                decide(stopping, heartbeat()),
                ReconcileResult(emptyList(), listOf(lost)),
            ),
        )
        for ((case, actual, expected) in table) assertEquals(expected, actual, case)
    }

    /** Guards against review case 6 on a machine that an earlier build, which had no limit for gangs, has overfilled. */
    @Test
    fun `an owner starts no more tasks than the next report can hold`() {
        val overfilled = Samples.job(Samples.spec(taskCount = 1_680)).place((0 until 1_680).associateWith { Job.Target("h", 1uL) })
        val launched = decide(overfilled, heartbeat()).commands
        assertTrue(launched.size in 700..1_000, "${launched.size} launches")
        val reported = launched.map { TaskStatus(it.job, it.index, it.attempt, TaskState.RUNNING, null) }
        assertEquals(emptyList<WorkerCommand>(), decide(overfilled, heartbeat(*reported.toTypedArray())).commands)
        val halts = decide(overfilled.copy(cancelledMs = 5), heartbeat(*reported.toTypedArray())).commands
        assertTrue(SimMessageSize.jsonBytes(Cbor.encode(HeartbeatCodec.encode(7uL, halts))) <= SimMessageSize.MAX_BYTES)
    }

    @Test
    fun `absence does not prove a loss under an older term or incarnation`() {
        // A launch of an earlier term may still be in flight to a worker that does not know the current term.
        assertEquals(ReconcileResult(emptyList(), emptyList()), decide(cancelled, heartbeat(fencingToken = 6uL)))
        val later = Samples.job().place(mapOf(0 to Job.Target("h", 2uL)))
        assertEquals(ReconcileResult(emptyList(), emptyList()), decide(later, heartbeat(incarnation = 1uL)))
    }

    @Test
    fun `a newer incarnation proves the loss of a task`() {
        val result = decide(job, heartbeat(incarnation = 2uL, fencingToken = 0uL))
        assertEquals(
            listOf(TaskEvent.Lost("job-1", 0, 1, "h", "tenure 2", false, outcomeUnknown = true)),
            result.events,
        )
        assertEquals(emptyList<WorkerCommand>(), result.commands)
    }

    @Test
    fun `every end cause yields an event, and no clear before the event is committed`() {
        for (cause in EndCause.entries) {
            val result = decide(job, heartbeat(task(TaskState.ENDED, cause)))
            val expected = if (cause == EndCause.DONE) {
                TaskEvent.Completed("job-1", 0, 1)
            } else {
                // A refused task never ran, so it does not count against its team's loss budget.
                val refused = cause in setOf(EndCause.NO_ROOM, EndCause.IN_USE, EndCause.UNKNOWN)
                TaskEvent.Lost("job-1", 0, 1, "h", cause.toString().lowercase(), cause == EndCause.ERROR, refused)
            }
            assertEquals(ReconcileResult(emptyList(), listOf(expected)), result, cause.toString())
        }
    }

    @Test
    fun `halts tasks of cancelled jobs without a scheduling decision`() {
        val halt = WorkerCommand.Halt("job-1", 0, 1uL, 0.0)
        fun records(job: Job) = job.allPlaced().map { PlacedTask(job, it) }.toList()
        val table = listOf<Triple<String, List<WorkerCommand>, List<WorkerCommand>>>(
            Triple(
                "cancelled",
                HeartbeatReconciler.cancellationHalts(heartbeat(running), records(cancelled)),
                listOf(halt),
            ),
            Triple(
                "cancelled, under another term",
                HeartbeatReconciler.cancellationHalts(heartbeat(running, fencingToken = 3uL), records(cancelled)),
                listOf(halt),
            ),
            Triple(
                "not cancelled",
                HeartbeatReconciler.cancellationHalts(heartbeat(running), records(job)),
                emptyList(),
            ),
            Triple(
                "stopping",
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
            Triple("not reported", HeartbeatReconciler.cancellationHalts(heartbeat(), records(cancelled)), emptyList()),
        )
        for ((case, actual, expected) in table) assertEquals(expected, actual, case)
    }

    @Test
    fun `a direct halt is based on the heartbeat, or on the record if the heartbeat is overdue`() {
        val halt = WorkerCommand.Halt("job-1", 0, 1uL, 0.0)
        fun directHalts(job: Job, heartbeat: Heartbeat?, heartbeatOverdue: Boolean, mayStop: Boolean = true) =
            HeartbeatReconciler.directHalts(
                job.allPlaced().map {
                    PlacedTask(job, it)
                }.toList(),
                heartbeat,
                heartbeatOverdue,
                mayStop,
            )
        val table = listOf(
            Triple("reported", directHalts(cancelled, heartbeat(running), heartbeatOverdue = false), listOf(halt)),
            Triple(
                "not reported, heartbeat not overdue: wait for the next heartbeat",
                directHalts(cancelled, heartbeat(), heartbeatOverdue = false),
                emptyList(),
            ),
            Triple(
                "not reported, heartbeat overdue",
                directHalts(cancelled, heartbeat(), heartbeatOverdue = true),
                listOf(halt),
            ),
            Triple("no heartbeat received", directHalts(cancelled, null, heartbeatOverdue = true), listOf(halt)),
            Triple(
                "ended",
                directHalts(cancelled, heartbeat(task(TaskState.ENDED, EndCause.DONE)), heartbeatOverdue = true),
                emptyList(),
            ),
            Triple(
                "incomplete, heartbeat overdue: the attempt may have been started again",
                directHalts(cancelled, heartbeat(incomplete), heartbeatOverdue = true),
                listOf(halt),
            ),
            Triple(
                "stopping",
                directHalts(stopping, heartbeat(running), heartbeatOverdue = false),
                listOf(WorkerCommand.Halt("job-1", 0, 1uL, 3.0)),
            ),
            Triple(
                "stopping, own lease expired",
                directHalts(stopping, heartbeat(running), heartbeatOverdue = false, mayStop = false),
                emptyList(),
            ),
            Triple(
                "stopping, no heartbeat received",
                directHalts(stopping, null, heartbeatOverdue = true),
                emptyList(),
            ),
            Triple(
                "neither cancelled nor stopping",
                directHalts(job, heartbeat(running), heartbeatOverdue = true),
                emptyList(),
            ),
        )
        for ((case, actual, expected) in table) assertEquals(expected, actual, case)
    }
}
