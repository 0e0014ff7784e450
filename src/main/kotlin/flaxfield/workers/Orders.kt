package flaxfield.workers

import flaxfield.jobs.Job
import flaxfield.jobs.TaskEvent
import flaxfield.store.OnHost

/** What a report leads to: orders for its worker, and proofs to be committed to the job records. */
data class Decision(val orders: List<Order>, val events: List<TaskEvent>)

/** Pure decisions on one worker's report: the records are what should be, the report is what is. */
object Orders {
    /**
     * So many records a machine may carry. A report tells of as many tasks again that have ended and are not cleared
     * yet, some 70 bytes each, and what is sent to us or by us must fit 64 KiB: one that does not is lost, and its
     * lease too.
     */
    const val MOST_TASKS = 300

    /**
     * @param records all task records on the host
     * @param term the current term; a report under another epoch proves no absence
     * @param mayLaunch whether this node's own lease is surely valid and the machine is kept
     */
    fun decide(report: Report, records: List<OnHost>, term: ULong, mayLaunch: Boolean): Decision {
        val orders = ArrayList<Order>()
        val events = ArrayList<TaskEvent>()
        val byTask = records.associateBy { it.job.id to it.placed.index }
        val present = HashSet<Pair<String, Int>>()
        for (t in report.tasks) {
            val record = byTask[t.job to t.index]?.takeIf { it.placed.attempt.toULong() == t.attempt }
            if (record == null) {
                orders += unrecorded(t)
            } else {
                present += t.job to t.index
                recorded(t, record, report.host, orders, events)
            }
        }
        for (r in records) {
            if ((r.job.id to r.placed.index) in present) continue
            absent(r, report, term, mayLaunch, orders, events)
        }
        return Decision(orders, events)
    }

    /** Not in the records: either its end is committed, or it must not be here. */
    private fun unrecorded(t: ReportedTask): Order =
        if (t.state == TaskState.ENDED) Order.Clear(t.job, t.index, t.attempt) else Order.Halt(t.job, t.index, t.attempt, 0.0)

    private fun recorded(t: ReportedTask, r: OnHost, host: String, orders: MutableList<Order>, events: MutableList<TaskEvent>) {
        when {
            t.state == TaskState.ENDED -> events += when (t.cause) {
                EndCause.DONE -> TaskEvent.Done(t.job, t.index, r.placed.attempt)
                else -> TaskEvent.Left(
                    t.job,
                    t.index,
                    r.placed.attempt,
                    host,
                    t.cause.toString().lowercase(),
                    failed = t.cause == EndCause.ERROR,
                    refused = t.cause in REFUSALS,
                )
            }
            else -> halt(t, r)?.let { orders += it }
        }
    }

    /**
     * Halts of what the view knows as cancelled, and nothing else: such an order is right under any term and without a
     * lease.
     */
    fun cancelled(report: Report, records: List<OnHost>): List<Order> {
        val off = records.filter { it.job.cancelled }.associateBy { it.job.id to it.placed.index }
        if (off.isEmpty()) return emptyList()
        return report.tasks.mapNotNull { t ->
            off[t.job to t.index]?.takeIf { it.placed.attempt.toULong() == t.attempt && t.state != TaskState.ENDED }?.let { halt(t, it) }
        }
    }

    /**
     * What to halt now by a direct command. A task that [report] does not show may be on its way there, or have been
     * started by an answer to an earlier owner: if the machine is [quiet] it is halted by its record.
     */
    fun haltsNow(records: List<OnHost>, report: Report?, quiet: Boolean, mayStop: Boolean): List<Order.Halt> = records.mapNotNull { r ->
        if (!r.job.cancelled && !(mayStop && r.placed.stopping)) return@mapNotNull null
        val attempt = r.placed.attempt.toULong()
        val t = report?.tasks?.firstOrNull { it.job == r.job.id && it.index == r.placed.index && it.attempt == attempt }
        when {
            t != null -> if (t.state == TaskState.ENDED) null else halt(t, r)
            r.job.cancelled && quiet -> Order.Halt(r.job.id, r.placed.index, attempt, 0.0)
            else -> null
        }
    }

    /** The halt that a task on its machine should get, or null if it is to go on. */
    fun halt(t: ReportedTask, r: OnHost): Order.Halt? = when {
        r.job.cancelled -> Order.Halt(t.job, t.index, t.attempt, 0.0)
        r.placed.stopping && t.state != TaskState.SAVING -> Order.Halt(t.job, t.index, t.attempt, windDown(r.job))
        else -> null
    }

    private fun absent(
        r: OnHost,
        report: Report,
        term: ULong,
        mayLaunch: Boolean,
        orders: MutableList<Order>,
        events: MutableList<TaskEvent>,
    ) {
        val p = r.placed
        when {
            // A newer session: the worker has killed and forgotten all that it had.
            report.session > p.session ->
                events += TaskEvent.Left(r.job.id, p.index, p.attempt, report.host, "tenure ${report.session}", false, fateUnknown = true)
            report.session < p.session -> Unit
            // Launches of earlier terms can't arrive any more, and ours have been answered: it is not here.
            r.job.cancelled || p.stopping -> if (report.epoch == term) {
                events += TaskEvent.Left(r.job.id, p.index, p.attempt, report.host, "absent", false)
            }
            mayLaunch -> orders += Order.Launch(r.job.id, p.index, p.attempt.toULong())
        }
    }

    /** Why a worker does not start a task at all. */
    private val REFUSALS = setOf(EndCause.NO_ROOM, EndCause.IN_USE, EndCause.UNKNOWN)

    /** Enough for the task to save, if it can at all. */
    private fun windDown(job: Job): Double = if (job.spec.saveEveryS > 0.0) job.spec.saveS * SAVE_MARGIN else 0.0

    /** Saving may take a little longer than its owner says. */
    private const val SAVE_MARGIN = 1.5
}
