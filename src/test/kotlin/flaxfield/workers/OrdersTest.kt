package flaxfield.workers

import flaxfield.Samples
import flaxfield.Samples.on
import flaxfield.codec.MalformedException
import flaxfield.codec.Wire
import flaxfield.jobs.Job
import flaxfield.jobs.TaskEvent
import flaxfield.store.OnHost
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows

class OrdersTest {
    private val job = Samples.job().on(0 to "h")
    private val stopping = job.stop(listOf(0))
    private val cancelled = job.copy(cancelledMs = 5)
    private val running = task(TaskState.RUNNING)

    private fun task(state: TaskState, cause: EndCause? = null, attempt: ULong = 1uL) =
        ReportedTask("job-1", 0, attempt, state, cause)

    private fun report(vararg tasks: ReportedTask, session: ULong = 1uL, epoch: ULong = 7uL) =
        Report("h", "10.0.0.1:1", "big", "a", false, session, 1uL, epoch, null, tasks.toList())

    private fun decide(job: Job?, report: Report, mayLaunch: Boolean = true): Decision {
        val records = job?.allPlaced()?.map { OnHost(job, it) }?.toList().orEmpty()
        return Orders.decide(report, records, 7uL, mayLaunch)
    }

    private val launch = Order.Launch("job-1", 0, 1uL)
    private val gone = TaskEvent.Left("job-1", 0, 1, "h", "absent", false)

    @Test
    fun `orders follow from records and report`() {
        val table = listOf<Triple<String, Decision, Decision>>(
            Triple("recorded and absent: launch", decide(job, report()), Decision(listOf(launch), emptyList())),
            Triple(
                "no launch while the lease may be over",
                decide(job, report(), mayLaunch = false),
                Decision(emptyList(), emptyList()),
            ),
            Triple("recorded and running: nothing", decide(job, report(running)), Decision(emptyList(), emptyList())),
            Triple(
                "not recorded and running: halt",
                decide(null, report(running)),
                Decision(listOf(Order.Halt("job-1", 0, 1uL, 0.0)), emptyList()),
            ),
            Triple(
                "not recorded and ended: clear",
                decide(null, report(task(TaskState.ENDED, EndCause.DONE))),
                Decision(listOf(Order.Clear("job-1", 0, 1uL)), emptyList()),
            ),
            Triple(
                "another attempt: halt it, launch ours",
                decide(job, report(task(TaskState.RUNNING, attempt = 9uL))),
                Decision(listOf(Order.Halt("job-1", 0, 9uL, 0.0), launch), emptyList()),
            ),
            Triple(
                "stopping: halt with time to save",
                decide(stopping, report(running)),
                Decision(listOf(Order.Halt("job-1", 0, 1uL, 3.0)), emptyList()),
            ),
            Triple(
                "stopping and saving: leave it",
                decide(stopping, report(task(TaskState.SAVING))),
                Decision(emptyList(), emptyList()),
            ),
            Triple(
                "cancelled: halt at once",
                decide(cancelled, report(task(TaskState.SAVING))),
                Decision(listOf(Order.Halt("job-1", 0, 1uL, 0.0)), emptyList()),
            ),
            Triple("cancelled and absent: gone", decide(cancelled, report()), Decision(emptyList(), listOf(gone))),
            Triple("stopping and absent: gone", decide(stopping, report()), Decision(emptyList(), listOf(gone))),
        )
        for ((what, got, want) in table) assertEquals(want, got, what)
    }

    @Test
    fun `absence proves nothing under an older epoch or session`() {
        // A launch of an earlier term may still be on its way to a worker that has not seen ours.
        assertEquals(Decision(emptyList(), emptyList()), decide(cancelled, report(epoch = 6uL)))
        val later = Samples.job().place(mapOf(0 to Job.Host("h", 2uL)))
        assertEquals(Decision(emptyList(), emptyList()), decide(later, report(session = 1uL)))
    }

    @Test
    fun `a newer session proves that the task is gone`() {
        val d = decide(job, report(session = 2uL, epoch = 0uL))
        assertEquals(listOf(TaskEvent.Left("job-1", 0, 1, "h", "tenure 2", false, fateUnknown = true)), d.events)
        assertEquals(emptyList<Order>(), d.orders)
    }

    @Test
    fun `every cause of an end has a decision, and clear waits for its commit`() {
        for (cause in EndCause.entries) {
            val d = decide(job, report(task(TaskState.ENDED, cause)))
            val want = if (cause == EndCause.DONE) {
                TaskEvent.Done("job-1", 0, 1)
            } else {
                // Refused at its start, it never ran: no loss to its team's budget.
                val refused = cause in setOf(EndCause.NO_ROOM, EndCause.IN_USE, EndCause.UNKNOWN)
                TaskEvent.Left("job-1", 0, 1, "h", cause.toString().lowercase(), cause == EndCause.ERROR, refused)
            }
            assertEquals(Decision(emptyList(), listOf(want)), d, cause.toString())
        }
    }

    @Test
    fun `reports are read strictly where it matters and leniently where it does not`() {
        val good = mapOf(
            "host" to "h", "address" to "10.0.0.1:1", "flavor" to "big", "site" to "a", "lendable" to false,
            "tenure" to 1, "tally" to ULong.MAX_VALUE, "epoch" to 3, "warning_s" to 5.5,
            "shards" to listOf(mapOf("shard" to "job-1/0", "try" to 1, "phase" to "ended", "cause" to "melted")),
        )
        val read = ReportCodec.decode(Wire.encode(good + ("new" to 1)))
        assertEquals(ULong.MAX_VALUE, read.sequenceNumber)
        assertEquals(EndCause.ERROR, read.tasks.single().cause)
        val bad = listOf(
            good - "tenure",
            good - "host",
            good + ("tally" to -1),
            good + ("shards" to listOf(mapOf("shard" to "job-1", "try" to 1, "phase" to "running"))),
            good + ("shards" to listOf(mapOf("shard" to "job-1/0", "try" to 1, "phase" to "asleep"))),
        )
        for (b in bad) assertThrows<MalformedException>(b.toString()) { ReportCodec.decode(Wire.encode(b)) }
    }

    @Test
    fun `session and sequenceNumber order the reports`() {
        val r = report(session = 2uL)
        assertEquals(
            listOf(true, true, false, false),
            listOf(1uL to 9uL, 2uL to 0uL, 2uL to 1uL, 3uL to 0uL).map {
                r.newerThan(it.first, it.second)
            },
        )
    }

    @Test
    fun `what is cancelled is halted also where nothing may be decided`() {
        val halt = Order.Halt("job-1", 0, 1uL, 0.0)
        fun records(job: Job) = job.allPlaced().map { OnHost(job, it) }.toList()
        val table = listOf<Triple<String, List<Order>, List<Order>>>(
            Triple("cancelled", Orders.cancelled(report(running), records(cancelled)), listOf(halt)),
            Triple("under any epoch", Orders.cancelled(report(running, epoch = 3uL), records(cancelled)), listOf(halt)),
            Triple("not cancelled", Orders.cancelled(report(running), records(job)), emptyList()),
            Triple("told to stop: a decision", Orders.cancelled(report(running), records(stopping)), emptyList()),
            Triple(
                "ended",
                Orders.cancelled(report(task(TaskState.ENDED, EndCause.STOPPED)), records(cancelled)),
                emptyList(),
            ),
            Triple(
                "another attempt",
                Orders.cancelled(report(task(TaskState.RUNNING, attempt = 9uL)), records(cancelled)),
                emptyList(),
            ),
            Triple("not there", Orders.cancelled(report(), records(cancelled)), emptyList()),
        )
        for ((what, got, want) in table) assertEquals(want, got, what)
    }

    @Test
    fun `a direct halt goes by the report, or by the record where the worker is quiet`() {
        val halt = Order.Halt("job-1", 0, 1uL, 0.0)
        fun now(job: Job, report: Report?, quiet: Boolean, mayStop: Boolean = true) =
            Orders.haltsNow(job.allPlaced().map { OnHost(job, it) }.toList(), report, quiet, mayStop)
        val table = listOf(
            Triple("shown", now(cancelled, report(running), quiet = false), listOf(halt)),
            Triple(
                "not shown by a worker that reports: its next report tells",
                now(cancelled, report(), quiet = false),
                emptyList(),
            ),
            Triple("not shown by a quiet one", now(cancelled, report(), quiet = true), listOf(halt)),
            Triple("never reported to us", now(cancelled, null, quiet = true), listOf(halt)),
            Triple("ended", now(cancelled, report(task(TaskState.ENDED, EndCause.DONE)), quiet = true), emptyList()),
            Triple(
                "told to stop",
                now(stopping, report(running), quiet = false),
                listOf(Order.Halt("job-1", 0, 1uL, 3.0)),
            ),
            Triple(
                "told to stop, our lease is over",
                now(stopping, report(running), quiet = false, mayStop = false),
                emptyList(),
            ),
            Triple("told to stop, by record", now(stopping, null, quiet = true), emptyList()),
            Triple("to go on", now(job, report(running), quiet = true), emptyList()),
        )
        for ((what, got, want) in table) assertEquals(want, got, what)
    }
}
