package flaxfield.workers

import flaxfield.arrays.HostState
import flaxfield.codec.MalformedException
import flaxfield.codec.Wire
import flaxfield.fleet.FleetCodec
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.Job
import flaxfield.jobs.Settlement
import flaxfield.jobs.TaskEvent
import flaxfield.net.Body
import flaxfield.net.Reply
import flaxfield.node.Hub
import flaxfield.peers.PeerDesk
import flaxfield.store.Cause
import flaxfield.store.Change
import flaxfield.store.Keys
import flaxfield.store.Txn
import org.slf4j.LoggerFactory

/** Workers' reports, their orders, and what can be told of machines that do not report. */
class WorkerDesk(private val hub: Hub, private val settlement: Settlement, private val peers: PeerDesk, private val direct: DirectOrders) {
    private val books = HashMap<String, HostBook>()

    /**
     * Hosts whose keys have been dropped, and when: names are never used again, so late news of them is ignored. Kept
     * for as long as copies may come, not by a count: after a mass loss hundreds go within seconds.
     */
    private val gone = LinkedHashMap<String, Long>()
    private var termSeen: ULong? = null
    private var ownerSinceNs = 0L

    /** When a machine of each zone last reported to us. */
    private val heardNs = HashMap<String, Long>()
    private val startNs = hub.nowNs

    fun report(body: ByteArray, reply: Reply) {
        val report = try {
            ReportCodec.decode(Wire.decode(body))
        } catch (e: MalformedException) {
            return reply.send(400, error(e.message ?: "malformed"), null)
        }
        val assignment = hub.world.assignment
        val term = hub.term()
        val book = book(report.host)
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
        own(report, book(report.host), term, reply)
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
        if (book.hearing.deaf) deaf(book)
        if (last == null) book.firstNs = hub.nowNs
        book.report = report
        // Under an older epoch it may be a late copy of what the machine said long ago: no sign of life. Our
        // answer brings the worker the epoch, and it reports again at once.
        if (report.epoch == term) {
            book.reportNs = hub.nowNs
            heardNs[report.site] = book.reportNs
        }
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
        if (report.warningS != null) drain(report, term)
        val records = hub.world.on(report.host)
        val decision = Orders.decide(report, records, term, mayLaunch = machine.phase != MachinePhase.RETIRING)
        for (e in decision.events) {
            blame(e, book)
            settlement.add(e)
        }
        book.hearing = book.hearing.answered(report, term, decision.orders, hub.nowNs)
        if (log.isDebugEnabled) for (o in decision.orders) log.debug("host={} term={} order={}", report.host, term, o)
        reply.send(200, Body(Wire.encode(ReportCodec.encode(term, decision.orders)), Body.CBOR), null)
    }

    /** A machine that we do not know is taken in: a rental may be executed after we gave up on its answer. */
    private fun adopt(report: Report) {
        val key = Keys.HOST + report.host
        if (report.host in gone || hub.isBusy(key)) return
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

    private fun blame(e: TaskEvent, book: HostBook) {
        if (e is TaskEvent.Done && !book.failures.none) book.failures = Failures()
        if (e !is TaskEvent.Left || !e.failed) return
        if (book.failures.none) log.info("host={} job={} task={} failed: machine or job, its next try tells", e.host, e.job, e.index)
        book.failures = book.failures.failed(e.job, hub.nowNs)
        hub.dirty = true
    }

    /** Whether the failures on a machine are its own. */
    private fun blamed(book: HostBook): Blame {
        if (book.failures.none) return Blame.NONE
        val blame = book.failures.blame(book.host, hub.nowNs) { id ->
            hub.world.jobs[id]?.takeIf { !it.cancelled }?.let { Failures.Trial(it.errorHosts, trialNs(it, book)) }
        }
        if (blame == Blame.NONE) book.failures = Failures()
        if (blame == Blame.FAULTY) {
            book.faulty = "tasks fail here and not elsewhere"
            log.info("host={} taken as faulty: {}", book.host, book.faulty)
            hub.dirty = true
        }
        return blame
    }

    /** How long a job's next try may take to fail as well: its launch, its image, and some more. */
    private fun trialNs(job: Job, book: HostBook): Long {
        val rate = hub.world.flavors[book.report?.flavor]?.fetchGbPerS ?: 1.0
        return ((hub.settings.workers.leaseS + job.spec.pullGb / rate * TRIAL_FETCHES) * NS).toLong()
    }

    /** It gets no new work and is returned; its tasks move on the usual proofs. */
    private fun deaf(book: HostBook) {
        if (book.faulty != null) return
        val heard = books.values.filter { it.reportNs > ownerSinceNs }
        if (heard.count { it.hearing.missed > 0 } > maxOf(1.0, heard.size * Hearing.MOST_DEAF)) return
        book.faulty = "reports, and does not hear our answers"
        log.info("host={} taken as faulty: {}", book.host, book.faulty)
        hub.dirty = true
    }

    /** The cloud takes the machine back soon: tasks that can save are stopped, so that they go on elsewhere. */
    private fun drain(report: Report, term: ULong) {
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
        val hosts = hub.world.halting.flatMapTo(LinkedHashSet()) { id ->
            val job = hub.world.jobs[id]
            job?.allPlaced()?.filter { job.cancelled || it.stopping }?.map { it.host }?.toList().orEmpty()
        }
        for (host in hosts) {
            val book = books[host] ?: continue
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

    /** How a machine that we own stands. */
    fun state(host: String): HostState {
        val book = books[host]
        val report = book?.report
        return when {
            book?.faulty != null -> HostState.FAULTY
            report == null || book.reportNs == 0L || book.reportNs < ownerSinceNs -> {
                // A machine that just came up has told us of itself, but not yet under our term.
                val since = maxOf(ownerSinceNs, book?.firstNs ?: 0L)
                if (silent(host, since) && expected(host)) HostState.SILENT else HostState.UNSEEN
            }
            silent(host, book.reportNs) -> HostState.SILENT
            report.warningS != null -> HostState.NOTICE
            blamed(book) == Blame.FAULTY -> HostState.FAULTY
            blamed(book) == Blame.SUSPECT -> HostState.SUSPECT
            else -> HostState.OK
        }
    }

    /** It has reported before, to us or to an earlier owner, or carries tasks: its silence means something. */
    private fun expected(host: String): Boolean = books[host]?.report != null ||
        !hub.world.isEmpty(host) ||
        hub.world.lastRoom(host)?.let { it.tenure > 0uL } ?: false

    private fun silent(host: String, sinceNs: Long): Boolean {
        val lease = hub.settings.workers.leaseS * NS
        val quiet = hub.nowNs - sinceNs
        if (quiet < lease * SILENT_SHARE) return false
        // If nobody of its zone reports, it is rather us who are cut off from there; but the last machines of a part
        // may be lost together, and their tasks must not wait for ever.
        val site = hub.world.machines[host]?.site ?: books[host]?.report?.site.orEmpty()
        val heard = hub.nowNs - (heardNs[site] ?: 0L) < hub.settings.workers.reportS * HEARD_REPORTS * NS
        return heard || quiet > lease * SILENT_ALONE_SHARE
    }

    /**
     * What we know of a machine; at first what its earlier owners' summaries knew. Without that, a takeover
     * forgot which images machines hold, and gangs waited for fetches that others would have been spared.
     */
    fun book(host: String): HostBook = books.getOrPut(host) {
        HostBook(host).also { b ->
            hub.world.lastRoom(host)?.let(b::inherit)
        }
    }

    /**
     * Must run before any decision under a new term: a machine's silence counts from when we became its
     * owner. Counted from an earlier time, a takeover returned every machine it took over.
     */
    fun noteTerm() {
        val term = hub.term()
        if (term == termSeen) return
        termSeen = term
        ownerSinceNs = hub.nowNs
        for (b in books.values) b.pushedNs = 0
    }

    /** We stood still for [gapNs]: reports and answers of that time were lost on our side, not on the workers'. */
    fun stoodStill(gapNs: Long) {
        if (ownerSinceNs != 0L) ownerSinceNs += gapNs
        for (b in books.values) {
            if (b.reportNs != 0L) b.reportNs += gapNs
            b.hearing = Hearing()
        }
        heardNs.replaceAll { _, at -> at + gapNs }
    }

    fun tick() {
        noteTerm()
        val term = hub.term() ?: return
        if (hub.mayDecide()) push(term)
    }

    /** Tells our workers the epoch when they do not come by themselves: they may be held at a node cut off. */
    private fun push(term: ULong) {
        val quiet = (hub.settings.workers.reportS * QUIET_REPORTS * NS).toLong()
        for (m in hub.mine()) {
            val host = m.name
            val book = book(host)
            if (hub.nowNs - maxOf(book.reportNs, ownerSinceNs, book.pushedNs) < quiet) continue
            val room = hub.world.lastRoom(host)?.takeIf { it.tenure > 0uL }
            val address = book.report?.address ?: room?.address ?: continue
            val tenure = book.report?.tenure ?: room?.tenure ?: continue
            if (address.isEmpty()) continue
            if (!direct.send(address, ReportCodec.encodeDirect(term, tenure, emptyList()), hub.post)) continue
            book.pushedNs = hub.nowNs
            log.debug("host={} epoch={} pushed", host, term)
        }
    }

    /** Forgets machines whose keys were dropped. */
    fun forget(host: String) {
        books.remove(host)
        gone[host] = hub.nowNs
        val before = hub.nowNs - (hub.settings.workers.leaseS * GONE_LEASES * NS).toLong()
        while (gone.isNotEmpty()) {
            val eldest = gone.entries.first()
            if (eldest.value >= before) break
            gone.remove(eldest.key)
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

        /** A worker silent for this share of its lease is taken as lost: its machine is returned. */
        const val SILENT_SHARE = 0.75

        /** The same where no machine of its zone is heard at all: most cuts between zones are over by then. */
        const val SILENT_ALONE_SHARE = 3.0

        /** Others of the zone must have been heard within this many report intervals for a silence to count. */
        const val HEARD_REPORTS = 2.0

        /** A worker not heard of for this many report intervals is sent the epoch. */
        const val QUIET_REPORTS = 2.0

        /** Images fetched at once share the rate. */
        const val TRIAL_FETCHES = 1.5

        /** Copies of reports come late, at times by well over a lease. */
        const val GONE_LEASES = 8.0
    }
}
