package flaxfield.workers

import flaxfield.jobs.Settlement
import flaxfield.node.Hub
import flaxfield.store.Cause
import flaxfield.store.Keys
import org.slf4j.LoggerFactory

/** Tells workers what can't wait for their next report: halts, and the epoch where they do not come by themselves. */
class StopDesk(private val hub: Hub, private val hosts: HostWatch, private val direct: DirectOrders) {
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
        if (tasks.isEmpty() || job.chunks.keys.any { hub.isBusy(Keys.chunk(id, it)) }) return
        val all = if (job.isGang) job.allPlaced().map { it.index }.toList() else tasks
        val sent = hub.commit(Cause.GANG, Settlement.write(job, job.stop(all), term))
        if (sent) log.info("job={} tasks={} term={} to stop: {}", id, all, term, why)
    }

    /** Halts at once what the records no longer want, without waiting for the next report. */
    fun haltNow() {
        val term = hub.term() ?: return
        if (!hub.mayDecide()) return
        if (hub.world.halting.isEmpty()) return
        val halting = hub.world.halting.flatMapTo(LinkedHashSet()) { id ->
            val job = hub.world.jobs[id]
            job?.allPlaced()?.filter { job.cancelled || it.stopping }?.map { it.host }?.toList().orEmpty()
        }
        for (host in halting) {
            val book = hosts.known(host) ?: continue
            val report = book.report ?: continue
            if (report.tasks.isEmpty() || !hub.owns(host, report.site)) continue
            if (hub.nowNs - book.haltedNs < hub.settings.workers.reportS * NS) continue
            val halts = hub.world.on(host).mapNotNull { r ->
                if (!r.job.cancelled && !r.placed.stopping) return@mapNotNull null
                val t = report.tasks.firstOrNull {
                    it.job == r.job.id && it.index == r.placed.index && it.attempt == r.placed.attempt.toULong()
                }
                if (t == null || t.state == TaskState.ENDED) null else Orders.halt(t, r)
            }
            if (halts.isEmpty()) continue
            if (!direct.send(report.address, ReportCodec.encodeDirect(term, report.tenure, halts), hub.post)) continue
            book.haltedNs = hub.nowNs
            log.debug("host={} term={} direct={}", host, term, halts)
        }
    }

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
            val room = hub.world.lastRoom(host)?.takeIf { it.tenure > 0uL }
            val address = book.report?.address ?: room?.address ?: continue
            val tenure = book.report?.tenure ?: room?.tenure ?: continue
            if (address.isEmpty()) continue
            if (!direct.send(address, ReportCodec.encodeDirect(term, tenure, emptyList()), hub.post)) continue
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
