package flaxfield.workers

import flaxfield.MILLIS_PER_SECOND
import flaxfield.NANOS_PER_SECOND
import flaxfield.codec.MalformedException
import flaxfield.codec.Wire
import flaxfield.fleet.FleetCodec
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.TaskCompletion
import flaxfield.net.Body
import flaxfield.net.Reply
import flaxfield.node.NodeContext
import flaxfield.peers.PeerGateway
import flaxfield.store.Cause
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Txn
import org.slf4j.LoggerFactory

/** Workers' reports and their orders. */
class ReportHandler(
    private val context: NodeContext,
    private val completion: TaskCompletion,
    private val peers: PeerGateway,
    private val hosts: WorkerHealth,
    private val stops: HaltDispatcher,
) {
    private val renewal = Renewal(context.settings.workers)

    fun report(body: ByteArray, reply: Reply) {
        val report = try {
            ReportCodec.decode(body)
        } catch (e: MalformedException) {
            return reply.send(400, error(e.message ?: "malformed"), null)
        }
        val assignment = context.view.assignment
        val term = context.term()
        val book = hosts.book(report.host)
        when {
            assignment == null || report.epoch > assignment.term || term == null -> withoutTerm(report, reply)
            context.owns(report.host, report.zone) -> own(report, book, term, reply)
            else -> notOurs(report, book, body, term, reply)
        }
    }

    /**
     * A worker of another's part. Who knows our term has had its owner and comes since that does not answer it:
     * sent back at first, it waited 4 s twice, and its lease was over. Its reports are handed on, and it is sent
     * to its owner again only now and then.
     *
     * Who does not know our term yet gets it here, with its lease renewed, and is sent on when it next reports, at
     * once: after a restart of all nodes, leases ran out on the way from node to node. Its owner then hears it under
     * the present epoch from the first report on.
     */
    private fun notOurs(report: Report, book: WorkerState, body: ByteArray, term: ULong, reply: Reply) {
        if (report.epoch < term && mayRenew()) {
            book.greetedTerm = term
            return keepAlive(report, term, reply)
        }
        if (context.zones != null && report.epoch == term) hosts.passed(report, book)
        val owner = context.owner(report.host, report.zone)
        val now = context.nowNs
        val lease = context.settings.workers.leaseS * NANOS_PER_SECOND
        val back = book.redirectedNs != 0L && now - book.redirectedNs < lease * RELAY_SHARE
        val lost =
            report.epoch == term &&
                book.greetedTerm != term &&
                (book.relayedNs == 0L || now - book.relayedNs < lease * RELAY_LEASES)
        if (!back && !lost) {
            book.redirectedNs = now
            book.relayedNs = 0L
            book.greetedTerm = null
            return redirect(owner, reply)
        }
        if (book.relayedNs == 0L) book.relayedNs = now
        peers.relay(owner, body) { status, answer ->
            if (answer != null) reply.send(status, Body(answer, Body.CBOR), null) else keepAlive(report, term, reply)
        }
    }

    /** A report handed on by a peer that could not send its worker to us: never redirected a second time. */
    fun relayed(body: ByteArray, reply: Reply) {
        val report = try {
            ReportCodec.decode(body)
        } catch (e: MalformedException) {
            return reply.send(400, error("malformed"), null)
        }
        val term = context.term()
        if (term == null || report.epoch > term || !context.owns(report.host, report.zone)) return
        own(report, hosts.book(report.host), term, reply)
    }

    /**
     * No member (yet), or behind the worker's epoch. While the state service does not answer us, we can't
     * tell an outage from being refused alone: the worker's own epoch keeps its lease, as long as [Renewal] allows.
     * So it does while nobody leads: after a restart of all nodes there is no owner to send the worker to, and the
     * seconds from the first view to the first term were what its lease lacked.
     */
    private fun withoutTerm(report: Report, reply: Reply) {
        val behind = context.view.assignment?.let { report.epoch > it.term } ?: false
        if (!behind && (stateAway() || nobodyLeads()) && mayRenew()) return keepAlive(report, report.epoch, reply)
        val owner = context.owner(report.host, report.zone)
        if (owner != null &&
            owner != context.me.name
        ) {
            redirect(owner, reply)
        } else {
            reply.send(421, Body(Wire.encode(emptyMap()), Body.CBOR), null)
        }
    }

    /** Whether there has been an assignment whose leader is gone, and none since. */
    private fun nobodyLeads(): Boolean {
        val assignment = context.view.assignment ?: return false
        return !assignment.leader.same(context.view.leader)
    }

    private fun stateAway() =
        context.nowNs - context.stateOkNs > context.settings.workers.leaseS * AWAY_SHARE * NANOS_PER_SECOND

    /**
     * Answers without a decision. What is cancelled is halted all the same: a cancellation in the view is committed and
     * stays, so its halts need neither a lease nor a term of ours.
     */
    private fun keepAlive(report: Report, epoch: ULong, reply: Reply) =
        renew(report, hosts.book(report.host), epoch, Orders.cancelled(report, context.view.on(report.host)), reply)

    private fun mayRenew() = context.knowledge.within(renewal.boundNs, context.nowNs)

    /**
     * The only answer that renews a worker's lease. Not sent on a view so old that a cancellation unknown here could
     * outlive `cancel_s`: the state service refused one controller, another confirmed cancellations, then it was out
     * for all, and the first kept the tasks alive beyond it.
     */
    private fun renew(report: Report, book: WorkerState, epoch: ULong, orders: List<Order>, reply: Reply) {
        if (!mayRenew()) return reply.send(503, error("the view is too old"), RETRY_S)
        book.halting = book.halting.answered(report, orders.filterIsInstance<Order.Halt>().filter { overdue(it.job) })
        if (book.halting.helpless) {
            log.info(
                "host={} term={} shows cancelled tasks that halts did not end: its lease is not renewed",
                report.host,
                epoch,
            )
            return reply.send(503, error("cancelled tasks go on"), RETRY_S)
        }
        reply.send(
            200,
            if (orders.isEmpty()) plain(epoch) else Body(Wire.encode(ReportCodec.encode(epoch, orders)), Body.CBOR),
            null,
        )
    }

    private var plainEpoch: ULong? = null
    private var plainBody = Body.EMPTY

    /** The answer without orders, which most reports get: encoded once a term. */
    private fun plain(epoch: ULong): Body {
        if (epoch != plainEpoch) {
            plainBody = Body(Wire.encode(ReportCodec.encode(epoch, emptyList())), Body.CBOR)
            plainEpoch = epoch
        }
        return plainBody
    }

    /** Whether a job was cancelled so long ago that only the end of a lease can still keep the promise. */
    private fun overdue(id: String): Boolean =
        context.view.jobs[id]?.cancelledMs?.let { context.nowMs - it > renewal.boundS * MILLIS_PER_SECOND } ?: false

    private fun redirect(owner: String?, reply: Reply) =
        reply.send(421, Body(Wire.encode(mapOf("steward" to owner)), Body.CBOR), null)

    private fun own(report: Report, book: WorkerState, term: ULong, reply: Reply) {
        // Our lease may be over while others already act under a newer term: no decisions, and not for ever.
        if (!context.leaseValid()) return keepAlive(report, term, reply)
        val last = book.report
        if (last != null && !report.newerThan(last.session, last.sequenceNumber)) return keepAlive(report, term, reply)
        book.reachability =
            book.reachability.reported(report, term, context.nowNs, context.settings.workers.leaseS * NANOS_PER_SECOND)
        if (book.reachability.deaf) hosts.deaf(book)
        if (last == null) book.firstNs = context.nowNs
        book.report = report
        // Under an older epoch it may be a late copy of what the machine said long ago: no sign of life. Our
        // answer brings the worker the epoch, and it reports again at once.
        if (report.epoch == term) hosts.alive(book, report.zone)
        if (last == null || last.session != report.session || last.warningS == null != (report.warningS == null)) {
            log.info(
                "host={} session={} warning_s={} reports to us, term={}",
                report.host,
                report.session,
                report.warningS,
                term,
            )
            context.dirty = true
        }
        val machine = context.view.machines[report.host]
        if (machine == null) {
            // A late copy may come from a machine that is long gone: only who knows our term is taken in.
            if (report.epoch == term) adopt(report)
            return keepAlive(report, term, reply)
        }
        learn(report, book)
        if (log.isDebugEnabled) changes(last, report)
        if (report.warningS != null) stops.drain(report, term)
        val records = context.view.on(report.host)
        // What another node has just cancelled must not start here: launches need a view that moves on.
        val mayLaunch =
            machine.phase != MachinePhase.RETIRING && context.knowledge.within(renewal.freshNs, context.nowNs)
        val decision = Orders.decide(report, records, term, mayLaunch)
        for (e in decision.events) {
            hosts.blame(e, book)
            completion.add(e)
        }
        book.reachability = book.reachability.answered(report, term, decision.orders, context.nowNs)
        if (log.isDebugEnabled) for (o in decision.orders) log.debug("host={} term={} order={}", report.host, term, o)
        renew(report, book, term, decision.orders, reply)
    }

    /** A machine that we do not know is taken in: a rental may be executed after we gave up on its answer. */
    private fun adopt(report: Report) {
        val key = StoreKeys.HOST + report.host
        if (hosts.isGone(report.host) || context.isBusy(key)) return
        val machine = Machine(
            report.host,
            report.machineType,
            report.zone,
            report.preemptible,
            MachinePhase.UP,
            context.nowMs,
            null,
            0uL,
        )
        val conditions = TaskCompletion.fence(context) + (key to 0uL)
        context.commit(Cause.FLEET, Txn(conditions, listOf(Change.Put(key, FleetCodec.encode(machine)))))
        log.info("host={} unknown, adopted", report.host)
    }

    private fun learn(report: Report, book: WorkerState) {
        val cache = context.view.machineTypes[report.machineType]?.cacheGb ?: return
        for (t in report.tasks) {
            if (t.state == TaskState.PULLING || t.state == TaskState.ENDED && t.cause != EndCause.DONE) continue
            val spec = context.view.jobs[t.job]?.spec ?: continue
            val new = spec.image !in book.images
            book.hasImage(spec.image, spec.imageGb, cache)
            if (new) context.dirty = true
        }
    }

    private fun changes(last: Report?, now: Report) {
        for (t in now.tasks) {
            val before = last?.tasks?.firstOrNull { it.job == t.job && it.index == t.index && it.attempt == t.attempt }
            if (before?.state !=
                t.state
            ) {
                log.debug(
                    "job={} task={} attempt={} host={} state={} cause={}",
                    t.job,
                    t.index,
                    t.attempt,
                    now.host,
                    t.state,
                    t.cause,
                )
            }
        }
    }

    private fun error(text: String) = Body(Wire.encode(mapOf("error" to text)), Body.CBOR)

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.workers")
        const val RETRY_S = 1

        /** A worker that comes back within this share of its lease after being sent to its owner is relayed. */
        const val RELAY_SHARE = 0.75

        /** A worker that lost its owner is handed on for so many leases before it is sent there again. */
        const val RELAY_LEASES = 2.0

        /** The state service seems away after this share of a worker's lease without an answer. */
        const val AWAY_SHARE = 0.25
    }
}
