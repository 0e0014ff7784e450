package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.arrays.MachineHealth
import flaxfield.controller.ControllerContext
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.Job
import flaxfield.jobs.TaskEvent
import flaxfield.zones.HeartbeatCoverage
import flaxfield.zones.ZoneCoverage
import flaxfield.zones.ZoneTimes
import org.slf4j.LoggerFactory

/** What this process has seen of machines, and how those of its part stand: silent, faulty, deaf, or well. */
class WorkerHealth(private val context: ControllerContext) {
    private val workerStates = HashMap<String, WorkerState>()

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
    fun alive(workerState: WorkerState, zone: String) {
        workerState.lastHeartbeatNs = context.nowNs
        heardNs[zone] = workerState.lastHeartbeatNs
    }

    /**
     * A worker of another's part has reported here under our term: a sign of life of its zone, if it is newer than what
     * was seen of it before. The first one may be a late copy.
     */
    fun passed(heartbeat: Heartbeat, workerState: WorkerState) {
        val before = workerState.passed
        if (before != null && !heartbeat.newerThan(before.incarnation, before.sequenceNumber)) return
        workerState.passed = heartbeat
        if (before != null) passedNs[heartbeat.zone] = context.nowNs
    }

    /** What this node hears of each zone: of its own part, and of workers that do not reach their owners. */
    fun zoneCoverage(): Map<String, ZoneCoverage> {
        val window = (context.settings.workers.leaseS * ZoneTimes.SILENT_LEASES * NANOS_PER_SECOND).toLong()
        val since = context.nowNs - window
        val settled = ownerSinceNs <= since
        val counts = HashMap<String, Heard>()
        for (m in context.shards.ownedMachines()) {
            if (m.phase == MachinePhase.RETIRING || !expected(m.name)) continue
            val count = counts.getOrPut(m.zone) { Heard() }
            count.expected++
            val at = workerStates[m.name]?.lastHeartbeatNs ?: 0L
            if (at >= ownerSinceNs && at > since) count.heard++
        }
        val own = counts.mapValues { (_, c) ->
            ZoneCoverage(c.expected, HeartbeatCoverage.of(c.expected, c.heard, settled))
        }
        val passing = passedNs.filterValues { it > since }.keys.filter { own[it]?.coverage?.showsReachable != true }
        return own + passing.associateWith { ZoneCoverage(own[it]?.expected ?: 0, HeartbeatCoverage.SOME) }
    }

    private class Heard(var expected: Int = 0, var heard: Int = 0)

    fun isGone(machineName: String): Boolean = machineName in gone

    /** Notes what a task's end says of its machine. */
    fun blame(e: TaskEvent, workerState: WorkerState) {
        if (e is TaskEvent.Completed && !workerState.failures.none) workerState.failures = MachineFailures()
        if (e !is TaskEvent.Lost || !e.failed) return
        if (workerState.failures.none) {
            log.info(
                "machine={} job={} task={} failed: machine or job, its next try tells",
                e.machineName,
                e.job,
                e.index,
            )
        }
        workerState.failures = workerState.failures.failed(e.job, context.nowNs)
        context.decisions.request()
    }

    /** Whether the failures on a machine are its own. */
    private fun blamed(workerState: WorkerState): FaultVerdict {
        if (workerState.failures.none) return FaultVerdict.NONE
        val blame = workerState.failures.blame(workerState.machineName, context.nowNs) { id ->
            context.view.jobs[id]?.takeIf {
                !it.cancelled
            }?.let { MachineFailures.RetryTrial(it.failedMachines, trialNs(it, workerState)) }
        }
        if (blame == FaultVerdict.NONE) workerState.failures = MachineFailures()
        if (blame == FaultVerdict.FAULTY) {
            workerState.faulty = "tasks fail here and not elsewhere"
            log.info("machine={} taken as faulty: {}", workerState.machineName, workerState.faulty)
            context.decisions.request()
        }
        return blame
    }

    /** How long a job's next try may take to fail as well: its launch, its image, and some more. */
    private fun trialNs(job: Job, workerState: WorkerState): Long {
        val rate = context.view.machineTypes[workerState.heartbeat?.machineType]?.fetchGbPerS ?: 1.0
        return ((context.settings.workers.leaseS + job.spec.imageGb / rate * TRIAL_FETCHES) * NANOS_PER_SECOND).toLong()
    }

    /** It gets no new work and is returned; its tasks move on the usual proofs. */
    fun deaf(workerState: WorkerState) {
        if (workerState.faulty != null) return
        val heard = workerStates.values.filter { it.lastHeartbeatNs > ownerSinceNs }
        if (heard.count { it.reachability.missed > 0 } > maxOf(1.0, heard.size * ResponseReachability.MAX_DEAF)) return
        workerState.faulty = "reports, and does not hear our answers"
        log.info("machine={} taken as faulty: {}", workerState.machineName, workerState.faulty)
        context.decisions.request()
    }

    /** How a machine that we own stands. */
    fun state(machineName: String): MachineHealth {
        val workerState = workerStates[machineName]
        val heartbeat = workerState?.heartbeat
        return when {
            workerState?.faulty != null -> MachineHealth.FAULTY
            heartbeat == null || workerState.lastHeartbeatNs == 0L || workerState.lastHeartbeatNs < ownerSinceNs -> {
                // A machine that just came up has told us of itself, but not yet under our term.
                val since = maxOf(ownerSinceNs, workerState?.firstNs ?: 0L)
                if (silent(machineName, since) && expected(machineName)) MachineHealth.SILENT else MachineHealth.UNSEEN
            }
            silent(machineName, workerState.lastHeartbeatNs) -> MachineHealth.SILENT
            heartbeat.terminationNoticeS != null -> MachineHealth.NOTICE
            blamed(workerState) == FaultVerdict.FAULTY -> MachineHealth.FAULTY
            blamed(workerState) == FaultVerdict.SUSPECT -> MachineHealth.SUSPECT
            else -> MachineHealth.OK
        }
    }

    /** It has reported before, to us or to an earlier owner, or carries tasks: its silence means something. */
    private fun expected(machineName: String): Boolean = workerStates[machineName]?.heartbeat != null ||
        !context.view.isEmpty(machineName) ||
        context.view.lastKnownStatus(machineName)?.let { it.incarnation > 0uL } ?: false

    private fun silent(machineName: String, sinceNs: Long): Boolean {
        val lease = context.settings.workers.leaseS * NANOS_PER_SECOND
        val quiet = context.nowNs - sinceNs
        if (quiet < lease * SILENT_SHARE) return false
        if (context.zones?.isLost(zoneOf(machineName)) == true) return quiet > lease
        // If nobody of its zone reports, it is rather us who are cut off from there; but the last machines of a part
        // may be lost together, and their tasks must not wait for ever.
        val heard =
            context.nowNs - (heardNs[zoneOf(machineName)] ?: 0L) <
                context.settings.workers.heartbeatIntervalS * HEARD_HEARTBEATS * NANOS_PER_SECOND
        return heard || quiet > lease * SILENT_ALONE_SHARE
    }

    private fun zoneOf(machineName: String): String =
        context.view.machines[machineName]?.zone ?: workerStates[machineName]?.heartbeat?.zone.orEmpty()

    /** What we know of a machine that we have heard of, or null. */
    fun known(machineName: String): WorkerState? = workerStates[machineName]

    /**
     * What we know of a machine; at first what its earlier owners' summaries knew. Without that, a takeover
     * forgot which images machines hold, and gangs waited for fetches that others would have been spared.
     */
    fun workerState(machineName: String): WorkerState = workerStates.getOrPut(machineName) {
        WorkerState(machineName).also { b ->
            context.view.lastKnownStatus(machineName)?.let(b::inherit)
        }
    }

    /**
     * Must run before any decision under a new term: a machine's silence counts from when we became its
     * owner. Counted from an earlier time, a takeover returned every machine it took over.
     */
    fun observeTerm() {
        val term = context.leadership.term()
        if (term == termSeen) return
        termSeen = term
        ownerSinceNs = context.nowNs
        for (b in workerStates.values) b.pushedNs = 0
    }

    /** We stood still for [gapNs]: reports and answers of that time were lost on our side, not on the workers'. */
    fun onProcessPause(gapNs: Long) {
        if (ownerSinceNs != 0L) ownerSinceNs += gapNs
        for (b in workerStates.values) {
            if (b.lastHeartbeatNs != 0L) b.lastHeartbeatNs += gapNs
            b.reachability = ResponseReachability()
        }
        heardNs.replaceAll { _, at -> at + gapNs }
    }

    /** Forgets machines whose keys were dropped. */
    fun forget(machineName: String) {
        workerStates.remove(machineName)
        gone[machineName] = context.nowNs
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
        const val HEARD_HEARTBEATS = 2.0

        /** Images fetched at once share the rate. */
        const val TRIAL_FETCHES = 1.5

        /** Copies of reports come late, at times by well over a lease. */
        const val GONE_LEASES = 8.0
    }
}
