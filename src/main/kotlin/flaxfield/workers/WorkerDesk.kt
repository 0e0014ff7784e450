package flaxfield.workers

import flaxfield.codec.MalformedException
import flaxfield.codec.Wire
import flaxfield.fleet.FleetCodec
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.Settlement
import flaxfield.net.Body
import flaxfield.net.Reply
import flaxfield.node.Hub
import flaxfield.peers.PeerDesk
import flaxfield.store.Cause
import flaxfield.store.Change
import flaxfield.store.Keys
import flaxfield.store.Txn
import org.slf4j.LoggerFactory

/** Workers' reports and their orders. */
class WorkerDesk(
    private val hub: Hub,
    private val settlement: Settlement,
    private val peers: PeerDesk,
    private val hosts: HostWatch,
    private val stops: StopDesk,
) {
    private val startNs = hub.nowNs

    fun report(body: ByteArray, reply: Reply) {
        val report = try {
            ReportCodec.decode(Wire.decode(body))
        } catch (e: MalformedException) {
            return reply.send(400, error(e.message ?: "malformed"), null)
        }
        val assignment = hub.world.assignment
        val term = hub.term()
        val book = hosts.book(report.host)
        when {
            assignment == null || report.epoch > assignment.term || term == null -> withoutTerm(report, reply)
            hub.owns(report.host, report.site) -> own(report, book, term, reply)
            else -> notOurs(report, book, body, term, reply)
        }
    }

    /**
     * A worker of another's part. Who knows our term has had its owner and comes since that does not answer it:
     * sent back at first, it waited 4 s twice, and its lease was over. Its reports are handed on, and it is sent
     * to its owner again only now and then.
     */
    private fun notOurs(report: Report, book: HostBook, body: ByteArray, term: ULong, reply: Reply) {
        val owner = hub.owner(report.host, report.site)
        val now = hub.nowNs
        val lease = hub.settings.workers.leaseS * NS
        val back = book.redirectedNs != 0L && now - book.redirectedNs < lease * RELAY_SHARE
        val lost = report.epoch == term && (book.relayedNs == 0L || now - book.relayedNs < lease * RELAY_LEASES)
        if (!back && !lost) {
            book.redirectedNs = now
            book.relayedNs = 0L
            return steward(owner, reply)
        }
        if (book.relayedNs == 0L) book.relayedNs = now
        peers.relay(owner, body) { status, answer ->
            if (answer != null) reply.send(status, Body(answer, Body.CBOR), null) else keepAlive(term, reply)
        }
    }

    /** A report handed on by a peer that could not send its worker to us: never redirected a second time. */
    fun relayed(body: ByteArray, reply: Reply) {
        val report = try {
            ReportCodec.decode(Wire.decode(body))
        } catch (e: MalformedException) {
            return reply.send(400, error("malformed"), null)
        }
        val term = hub.term()
        if (term == null || report.epoch > term || !hub.owns(report.host, report.site)) return
        own(report, hosts.book(report.host), term, reply)
    }

    /**
     * No member (yet), or behind the worker's epoch. While the state service does not answer us, we can't
     * tell an outage from being refused alone: the worker's own epoch keeps its lease, for a bounded time.
     */
    private fun withoutTerm(report: Report, reply: Reply) {
        val behind = hub.world.assignment?.let { report.epoch > it.term } ?: false
        if (!behind && stateAway() && hub.nowNs - maxOf(startNs, hub.stateOkNs) < hub.settings.workers.cancelS * ALONE_SHARE * NS) {
            return keepAlive(report.epoch, reply)
        }
        val owner = hub.owner(report.host, report.site)
        if (owner != null &&
            owner != hub.me.name
        ) {
            steward(owner, reply)
        } else {
            reply.send(421, Body(Wire.encode(emptyMap()), Body.CBOR), null)
        }
    }

    private fun stateAway() = hub.nowNs - hub.stateOkNs > hub.settings.workers.leaseS * AWAY_SHARE * NS

    private fun keepAlive(epoch: ULong, reply: Reply) =
        reply.send(200, Body(Wire.encode(ReportCodec.encode(epoch, emptyList())), Body.CBOR), null)

    private fun steward(owner: String?, reply: Reply) = reply.send(421, Body(Wire.encode(mapOf("steward" to owner)), Body.CBOR), null)

    private fun own(report: Report, book: HostBook, term: ULong, reply: Reply) {
        // Our lease may be over while others already act under a newer term: no orders, and not for ever.
        if (!hub.leaseValid()) {
            val silent = hub.nowNs - hub.leaseUntilNs
            if (silent > hub.settings.workers.cancelS * ALONE_SHARE * NS) return reply.send(503, error("no contact"), RETRY_S)
            return keepAlive(term, reply)
        }
        val last = book.report
        if (last != null && !report.newerThan(last.tenure, last.tally)) return keepAlive(term, reply)
        book.hearing = book.hearing.reported(report, term, hub.nowNs, hub.settings.workers.leaseS * NS)
        if (book.hearing.deaf) hosts.deaf(book)
        if (last == null) book.firstNs = hub.nowNs
        book.report = report
        // Under an older epoch it may be a late copy of what the machine said long ago: no sign of life. Our
        // answer brings the worker the epoch, and it reports again at once.
        if (report.epoch == term) hosts.alive(book, report.site)
        if (last == null || last.tenure != report.tenure || last.warningS == null != (report.warningS == null)) {
            log.info("host={} tenure={} warning_s={} reports to us, term={}", report.host, report.tenure, report.warningS, term)
            hub.dirty = true
        }
        val machine = hub.world.machines[report.host]
        if (machine == null) {
            // A late copy may come from a machine that is long gone: only who knows our term is taken in.
            if (report.epoch == term) adopt(report)
            return keepAlive(term, reply)
        }
        learn(report, book)
        if (log.isDebugEnabled) changes(last, report)
        if (report.warningS != null) stops.drain(report, term)
        val records = hub.world.on(report.host)
        val decision = Orders.decide(report, records, term, mayLaunch = machine.phase != MachinePhase.RETIRING)
        for (e in decision.events) {
            hosts.blame(e, book)
            settlement.add(e)
        }
        book.hearing = book.hearing.answered(report, term, decision.orders, hub.nowNs)
        if (log.isDebugEnabled) for (o in decision.orders) log.debug("host={} term={} order={}", report.host, term, o)
        reply.send(200, Body(Wire.encode(ReportCodec.encode(term, decision.orders)), Body.CBOR), null)
    }

    /** A machine that we do not know is taken in: a rental may be executed after we gave up on its answer. */
    private fun adopt(report: Report) {
        val key = Keys.HOST + report.host
        if (hosts.isGone(report.host) || hub.isBusy(key)) return
        val machine = Machine(
            report.host,
            report.flavor,
            report.site,
            report.lendable,
            MachinePhase.UP,
            hub.nowMs,
            null,
            0uL,
        )
        val conditions = Settlement.fence(hub) + (key to 0uL)
        hub.commit(Cause.FLEET, Txn(conditions, listOf(Change.Put(key, FleetCodec.encode(machine)))))
        log.info("host={} unknown, adopted", report.host)
    }

    private fun learn(report: Report, book: HostBook) {
        val cache = hub.world.flavors[report.flavor]?.cacheGb ?: return
        for (t in report.tasks) {
            if (t.state == TaskState.PULLING || t.state == TaskState.ENDED && t.cause != EndCause.DONE) continue
            val spec = hub.world.jobs[t.job]?.spec ?: continue
            val new = spec.bundle !in book.images
            book.hasImage(spec.bundle, spec.pullGb, cache)
            if (new) hub.dirty = true
        }
    }

    private fun changes(last: Report?, now: Report) {
        for (t in now.tasks) {
            val before = last?.tasks?.firstOrNull { it.job == t.job && it.index == t.index && it.attempt == t.attempt }
            if (before?.state !=
                t.state
            ) {
                log.debug("job={} task={} attempt={} host={} state={} cause={}", t.job, t.index, t.attempt, now.host, t.state, t.cause)
            }
        }
    }

    private fun error(text: String) = Body(Wire.encode(mapOf("error" to text)), Body.CBOR)

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.workers")
        const val NS = 1e9
        const val RETRY_S = 1

        /** A worker that comes back within this share of its lease after being sent to its owner is relayed. */
        const val RELAY_SHARE = 0.75

        /** A worker that lost its owner is handed on for so many leases before it is sent there again. */
        const val RELAY_LEASES = 2.0

        /** Without contact to the state service, reports are answered for this share of `cancel_s`. */
        const val ALONE_SHARE = 0.6

        /** The state service seems away after this share of a worker's lease without an answer. */
        const val AWAY_SHARE = 0.25
    }
}
