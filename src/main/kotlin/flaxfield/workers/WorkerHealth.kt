package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.arrays.HostState
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.Job
import flaxfield.jobs.TaskEvent
import flaxfield.node.NodeContext
import flaxfield.zones.Hearing
import flaxfield.zones.ZoneHearing
import flaxfield.zones.ZoneTimes
import org.slf4j.LoggerFactory

/** What this process has seen of machines, and how those of its part stand: silent, faulty, deaf, or well. */
class WorkerHealth(private val context: NodeContext) {
    private val books = HashMap<String, WorkerState>()

    /**
     * Hosts whose keys have been dropped, and when: names are never used again, so late news of them is ignored. Kept
     * for as long as copies may come, not by a count: after a mass loss hundreds go within seconds.
     */
    private val gone = LinkedHashMap<String, Long>()
    private var termSeen: ULong? = null

    /** Since when we own our part under the present term. */
    var ownerSinceNs = 0L
        private set

    /** When a machine of each zone last reported to us. */
    private val heardNs = HashMap<String, Long>()

    /** When a worker of another's part last reported to us, by zone. */
    private val passedNs = HashMap<String, Long>()

    /** A report under our term has come: a sign of life of the machine, and of its zone. */
    fun alive(book: WorkerState, zone: String) {
        book.reportNs = context.nowNs
        heardNs[zone] = book.reportNs
    }

    /**
     * A worker of another's part has reported here under our term: a sign of life of its zone, if it is newer than what
     * was seen of it before. The first one may be a late copy.
     */
    fun passed(report: Report, book: WorkerState) {
        val before = book.passed
        if (before != null && !report.newerThan(before.session, before.sequenceNumber)) return
        book.passed = report
        if (before != null) passedNs[report.zone] = context.nowNs
    }

    /** What this node hears of each zone: of its own part, and of workers that do not reach their owners. */
    fun hearings(): Map<String, ZoneHearing> {
        val window = (context.settings.workers.leaseS * ZoneTimes.SILENT_LEASES * NANOS_PER_SECOND).toLong()
        val since = context.nowNs - window
        val settled = ownerSinceNs <= since
        val counts = HashMap<String, Heard>()
        for (m in context.mine()) {
            if (m.phase == MachinePhase.RETIRING || !expected(m.name)) continue
            val count = counts.getOrPut(m.zone) { Heard() }
            count.expected++
            val at = books[m.name]?.reportNs ?: 0L
            if (at >= ownerSinceNs && at > since) count.heard++
        }
        val own = counts.mapValues { (_, c) -> ZoneHearing(c.expected, Hearing.of(c.expected, c.heard, settled)) }
        val passing = passedNs.filterValues { it > since }.keys.filter { own[it]?.hearing?.isSign != true }
        return own + passing.associateWith { ZoneHearing(own[it]?.expected ?: 0, Hearing.SOME) }
    }

    private class Heard(var expected: Int = 0, var heard: Int = 0)

    fun isGone(host: String): Boolean = host in gone

    /** Notes what a task's end says of its machine. */
    fun blame(e: TaskEvent, book: WorkerState) {
        if (e is TaskEvent.Done && !book.failures.none) book.failures = Failures()
        if (e !is TaskEvent.Left || !e.failed) return
        if (book.failures.none) {
            log.info(
                "host={} job={} task={} failed: machine or job, its next try tells",
                e.host,
                e.job,
                e.index,
            )
        }
        book.failures = book.failures.failed(e.job, context.nowNs)
        context.dirty = true
    }

    /** Whether the failures on a machine are its own. */
    private fun blamed(book: WorkerState): Blame {
        if (book.failures.none) return Blame.NONE
        val blame = book.failures.blame(book.host, context.nowNs) { id ->
            context.view.jobs[id]?.takeIf { !it.cancelled }?.let { Failures.Trial(it.errorHosts, trialNs(it, book)) }
        }
        if (blame == Blame.NONE) book.failures = Failures()
        if (blame == Blame.FAULTY) {
            book.faulty = "tasks fail here and not elsewhere"
            log.info("host={} taken as faulty: {}", book.host, book.faulty)
            context.dirty = true
        }
        return blame
    }

    /** How long a job's next try may take to fail as well: its launch, its image, and some more. */
    private fun trialNs(job: Job, book: WorkerState): Long {
        val rate = context.view.machineTypes[book.report?.machineType]?.fetchGbPerS ?: 1.0
        return ((context.settings.workers.leaseS + job.spec.imageGb / rate * TRIAL_FETCHES) * NANOS_PER_SECOND).toLong()
    }

    /** It gets no new work and is returned; its tasks move on the usual proofs. */
    fun deaf(book: WorkerState) {
        if (book.faulty != null) return
        val heard = books.values.filter { it.reportNs > ownerSinceNs }
        if (heard.count { it.reachability.missed > 0 } > maxOf(1.0, heard.size * AnswerReachability.MOST_DEAF)) return
        book.faulty = "reports, and does not hear our answers"
        log.info("host={} taken as faulty: {}", book.host, book.faulty)
        context.dirty = true
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
        !context.view.isEmpty(host) ||
        context.view.lastRoom(host)?.let { it.session > 0uL } ?: false

    private fun silent(host: String, sinceNs: Long): Boolean {
        val lease = context.settings.workers.leaseS * NANOS_PER_SECOND
        val quiet = context.nowNs - sinceNs
        if (quiet < lease * SILENT_SHARE) return false
        if (context.zones?.isLost(zoneOf(host)) == true) return quiet > lease
        // If nobody of its zone reports, it is rather us who are cut off from there; but the last machines of a part
        // may be lost together, and their tasks must not wait for ever.
        val heard =
            context.nowNs - (heardNs[zoneOf(host)] ?: 0L) <
                context.settings.workers.reportS * HEARD_REPORTS * NANOS_PER_SECOND
        return heard || quiet > lease * SILENT_ALONE_SHARE
    }

    private fun zoneOf(host: String): String = context.view.machines[host]?.zone ?: books[host]?.report?.zone.orEmpty()

    /** What we know of a machine that we have heard of, or null. */
    fun known(host: String): WorkerState? = books[host]

    /**
     * What we know of a machine; at first what its earlier owners' summaries knew. Without that, a takeover
     * forgot which images machines hold, and gangs waited for fetches that others would have been spared.
     */
    fun book(host: String): WorkerState = books.getOrPut(host) {
        WorkerState(host).also { b ->
            context.view.lastRoom(host)?.let(b::inherit)
        }
    }

    /**
     * Must run before any decision under a new term: a machine's silence counts from when we became its
     * owner. Counted from an earlier time, a takeover returned every machine it took over.
     */
    fun noteTerm() {
        val term = context.term()
        if (term == termSeen) return
        termSeen = term
        ownerSinceNs = context.nowNs
        for (b in books.values) b.pushedNs = 0
    }

    /** We stood still for [gapNs]: reports and answers of that time were lost on our side, not on the workers'. */
    fun stoodStill(gapNs: Long) {
        if (ownerSinceNs != 0L) ownerSinceNs += gapNs
        for (b in books.values) {
            if (b.reportNs != 0L) b.reportNs += gapNs
            b.reachability = AnswerReachability()
        }
        heardNs.replaceAll { _, at -> at + gapNs }
    }

    /** Forgets machines whose keys were dropped. */
    fun forget(host: String) {
        books.remove(host)
        gone[host] = context.nowNs
        val before = context.nowNs - (context.settings.workers.leaseS * GONE_LEASES * NANOS_PER_SECOND).toLong()
        while (gone.isNotEmpty()) {
            val eldest = gone.entries.first()
            if (eldest.value >= before) break
            gone.remove(eldest.key)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.workers")

        /** A worker silent for this share of its lease is taken as lost: its machine is returned. */
        const val SILENT_SHARE = 0.75

        /** The same where no machine of its zone is heard at all: most cuts between zones are over by then. */
        const val SILENT_ALONE_SHARE = 3.0

        /** Others of the zone must have been heard within this many report intervals for a silence to count. */
        const val HEARD_REPORTS = 2.0

        /** Images fetched at once share the rate. */
        const val TRIAL_FETCHES = 1.5

        /** Copies of reports come late, at times by well over a lease. */
        const val GONE_LEASES = 8.0
    }
}
