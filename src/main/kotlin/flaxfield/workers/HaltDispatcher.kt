package flaxfield.workers

import flaxfield.jobs.TaskCompletion
import flaxfield.node.NodeContext
import flaxfield.store.Cause
import flaxfield.store.StoreKeys
import org.slf4j.LoggerFactory

/** Tells workers what can't wait for their next report: halts, and the epoch where they do not come by themselves. */
class HaltDispatcher(private val hub: NodeContext, private val hosts: WorkerHealth, private val direct: DirectOrders) {
    /** The cloud takes the machine back soon: tasks that can save are stopped, so that they go on elsewhere. */
    fun drain(report: Report, term: ULong) {
        for (list in hub.world.on(report.host).groupBy { it.job.id }.values) {
            val job = list.first().job
            if (job.spec.saveEveryS <= 0.0 || job.isGang && job.spec.shards > 1 && list.size == job.spec.shards) continue
            stop(job.id, list.filter { !it.placed.stopping }.map { it.placed.index }, term, "notice on ${report.host}")
        }
    }

    /** Records that tasks are to stop; their halts follow from the records. */
    fun stop(id: String, tasks: List<Int>, term: ULong, why: String) {
        val job = hub.world.jobs[id] ?: return
        if (tasks.isEmpty() || job.chunks.keys.any { hub.isBusy(StoreKeys.chunk(id, it)) }) return
        val all = if (job.isGang) job.allPlaced().map { it.index }.toList() else tasks
        val sent = hub.commit(Cause.GANG, TaskCompletion.write(job, job.stop(all), term))
        if (sent) log.info("job={} tasks={} term={} to stop: {}", id, all, term, why)
    }

    /**
     * Halts at once what the records no longer want, without waiting for the next report. What is cancelled is halted also
     * while our lease is over, and where the machine has not reported to us yet: its records and its last summary tell
     * enough. A halt of a cancelled task is right under any term, and a worker drops it if it knows a newer one.
     */
    fun haltNow() {
        val term = hub.world.assignment?.term ?: return
        if (hub.world.halting.isEmpty()) return
        val mayDecide = hub.mayDecide()
        val halting = hub.world.halting.flatMapTo(LinkedHashSet()) { id ->
            val job = hub.world.jobs[id]
            job?.allPlaced()?.filter { job.cancelled || mayDecide && it.stopping }?.map { it.host }?.toList().orEmpty()
        }
        for (host in halting) {
            val site = hub.world.machines[host]?.site ?: hosts.known(host)?.report?.site ?: continue
            if (!hub.owns(host, site)) continue
            val book = hosts.book(host)
            if (hub.nowNs - book.haltedNs < hub.settings.workers.reportS * NS) continue
            val halts = Orders.haltsNow(hub.world.on(host), book.report, quiet(book), mayDecide)
            if (halts.isEmpty()) continue
            val worker = worker(book) ?: continue
            if (!direct.send(worker.address, ReportCodec.encodeDirect(term, worker.tenure, halts), hub.post)) continue
            book.haltedNs = hub.nowNs
            log.debug("host={} term={} direct={}", host, term, halts)
        }
    }

    /** Where a worker is to be reached. */
    private class Reached(val address: String, val tenure: ULong)

    /** By what it last told us or, if that is newer, an earlier owner: a late copy may have been the first that we heard. */
    private fun worker(book: WorkerState): Reached? {
        val report = book.report
        val room = hub.world.lastRoom(book.host)?.takeIf { it.tenure > 0uL && it.address.isNotEmpty() }
        return when {
            report != null && (room == null || report.tenure >= room.tenure) -> Reached(report.address, report.tenure)
            room != null -> Reached(room.address, room.tenure)
            else -> null
        }
    }

    private fun quiet(book: WorkerState): Boolean = hub.nowNs - book.reportNs > hub.settings.workers.reportS * QUIET_REPORTS * NS

    fun tick() {
        hosts.noteTerm()
        val term = hub.term() ?: return
        if (hub.mayDecide()) push(term)
    }

    /** Tells our workers the epoch when they do not come by themselves: they may be held at a node cut off. */
    private fun push(term: ULong) {
        val quiet = (hub.settings.workers.reportS * QUIET_REPORTS * NS).toLong()
        for (m in hub.mine()) {
            val host = m.name
            val book = hosts.book(host)
            if (hub.nowNs - maxOf(book.reportNs, hosts.ownerSinceNs, book.pushedNs) < quiet) continue
            val worker = worker(book) ?: continue
            if (!direct.send(worker.address, ReportCodec.encodeDirect(term, worker.tenure, emptyList()), hub.post)) continue
            book.pushedNs = hub.nowNs
            log.debug("host={} epoch={} pushed", host, term)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.workers")
        const val NS = 1e9

        /** A worker not heard of for this many report intervals is sent the epoch. */
        const val QUIET_REPORTS = 2.0
    }
}
