package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.jobs.TaskCompletion
import flaxfield.node.NodeContext
import flaxfield.store.Cause
import flaxfield.store.StoreKeys
import org.slf4j.LoggerFactory

/** Tells workers what can't wait for their next report: halts, and the epoch where they do not come by themselves. */
class HaltDispatcher(
    private val context: NodeContext,
    private val hosts: WorkerHealth,
    private val direct: DirectOrders,
) {
    /** The cloud takes the machine back soon: tasks that can save are stopped, so that they go on elsewhere. */
    fun drain(report: Report, term: ULong) {
        for (list in context.view.on(report.host).groupBy { it.job.id }.values) {
            val job = list.first().job
            if (job.spec.saveEveryS <= 0.0 ||
                job.isGang &&
                job.spec.taskCount > 1 &&
                list.size == job.spec.taskCount
            ) {
                continue
            }
            stop(job.id, list.filter { !it.placed.stopping }.map { it.placed.index }, term, "notice on ${report.host}")
        }
    }

    /** Records that tasks are to stop; their halts follow from the records. */
    fun stop(id: String, tasks: List<Int>, term: ULong, why: String) {
        val job = context.view.jobs[id] ?: return
        if (tasks.isEmpty() || job.chunks.keys.any { context.isBusy(StoreKeys.chunk(id, it)) }) return
        val all = if (job.isGang) job.allPlaced().map { it.index }.toList() else tasks
        val write = TaskCompletion.write(job, job.stop(all), term)
        val mark = context.subsystem?.lossMark()
        val sent = context.commit(Cause.GANG, if (mark == null) write else write.copy(changes = write.changes + mark))
        if (sent) log.info("job={} tasks={} term={} to stop: {}", id, all, term, why)
    }

    /**
     * Halts at once what the records no longer want, without waiting for the next report. What is cancelled is halted
     * also while our lease is over, and where the machine has not reported to us yet: its records and its last summary
     * tell enough. A halt of a cancelled task is right under any term, and a worker drops it if it knows a newer one.
     */
    fun haltNow() {
        val term = context.view.assignment?.term ?: return
        if (context.view.halting.isEmpty()) return
        val mayDecide = context.mayDecide()
        val halting = context.view.halting.flatMapTo(LinkedHashSet()) { id ->
            val job = context.view.jobs[id]
            job?.allPlaced()?.filter { job.cancelled || mayDecide && it.stopping }?.map { it.host }?.toList().orEmpty()
        }
        for (host in halting) {
            val zone = context.view.machines[host]?.zone ?: hosts.known(host)?.report?.zone ?: continue
            if (!context.owns(host, zone)) continue
            val book = hosts.book(host)
            if (context.nowNs - book.haltedNs < context.settings.workers.reportS * NANOS_PER_SECOND) continue
            val halts = Orders.haltsNow(context.view.on(host), book.report, quiet(book), mayDecide)
            if (halts.isEmpty()) continue
            val worker = worker(book) ?: continue
            if (!direct.send(
                    worker.address,
                    ReportCodec.encodeDirect(term, worker.session, halts),
                    context.post,
                )
            ) {
                continue
            }
            book.haltedNs = context.nowNs
            log.debug("host={} term={} direct={}", host, term, halts)
        }
    }

    /** Where a worker is to be reached. */
    private class Reached(val address: String, val session: ULong)

    /**
     * By what it last told us or, if that is newer, an earlier owner: a late copy may have been the first that we
     * heard.
     */
    private fun worker(book: WorkerState): Reached? {
        val report = book.report
        val room = context.view.lastRoom(book.host)?.takeIf { it.session > 0uL && it.address.isNotEmpty() }
        return when {
            report != null && (room == null || report.session >= room.session) -> Reached(
                report.address,
                report.session,
            )
            room != null -> Reached(room.address, room.session)
            else -> null
        }
    }

    private fun quiet(book: WorkerState): Boolean =
        context.nowNs - book.reportNs > context.settings.workers.reportS * QUIET_REPORTS * NANOS_PER_SECOND

    fun tick() {
        hosts.noteTerm()
        val term = context.term() ?: return
        if (context.mayDecide()) push(term)
    }

    /** Tells our workers the epoch when they do not come by themselves: they may be held at a node cut off. */
    private fun push(term: ULong) {
        val quiet = (context.settings.workers.reportS * QUIET_REPORTS * NANOS_PER_SECOND).toLong()
        for (m in context.mine()) {
            val host = m.name
            val book = hosts.book(host)
            if (context.nowNs - maxOf(book.reportNs, hosts.ownerSinceNs, book.pushedNs) < quiet) continue
            val worker = worker(book) ?: continue
            if (!direct.send(
                    worker.address,
                    ReportCodec.encodeDirect(term, worker.session, emptyList()),
                    context.post,
                )
            ) {
                continue
            }
            book.pushedNs = context.nowNs
            log.debug("host={} epoch={} pushed", host, term)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.workers")

        /** A worker not heard of for this many report intervals is sent the epoch. */
        const val QUIET_REPORTS = 2.0
    }
}
