package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.arrays.MachineHealth
import flaxfield.controller.ControllerContext
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.TaskEvent
import flaxfield.zones.HeartbeatCoverage
import flaxfield.zones.ZoneCoverage
import flaxfield.zones.ZoneTimes

/**
 * What this process has seen of workers, and the health of the machines in its shard that follows from it. Held in
 * memory only, by the owner thread. Times are nanoseconds of the monotonic clock.
 */
class WorkerHealth(private val context: ControllerContext) {
    private val workerStates = HashMap<String, WorkerState>()
    private val dropped = DroppedMachines(context.settings.workers.leaseS)
    private val faults = FaultDetector(context)
    private var observedTerm: ULong? = null

    /** Since when this process owns its shard under the present term. */
    var ownerSinceNs = 0L
        private set

    /** When a machine of each zone last reported to us as its owner. */
    private val ownedHeartbeatNs = HashMap<String, Long>()

    /** When a worker of another shard last reported to us, by zone. */
    private val misroutedHeartbeatNs = HashMap<String, Long>()

    /** A heartbeat under our term has come: a sign of life of the machine and of its [zone]. */
    fun recordSignOfLife(workerState: WorkerState, zone: String) {
        workerState.lastHeartbeatNs = context.nowNs
        ownedHeartbeatNs[zone] = workerState.lastHeartbeatNs
    }

    /**
     * A worker of another shard has reported here under our term: a sign of life of its zone, if it is newer than what
     * was seen of it before. The first one does not count, as it may be a late copy.
     */
    fun recordMisrouted(heartbeat: Heartbeat, workerState: WorkerState) {
        val before = workerState.misroutedHeartbeat
        if (before != null && !heartbeat.newerThan(before.incarnation, before.sequenceNumber)) return
        workerState.misroutedHeartbeat = heartbeat
        if (before != null) misroutedHeartbeatNs[heartbeat.zone] = context.nowNs
    }

    /**
     * How many machines of each zone report to this controller: those of its own shard, and workers that do not reach
     * their owners.
     */
    fun zoneCoverage(): Map<String, ZoneCoverage> {
        val windowNs = (context.settings.workers.leaseS * ZoneTimes.HEARTBEAT_TIMEOUT_LEASES * NANOS_PER_SECOND).toLong()
        val sinceNs = context.nowNs - windowNs
        val ownsLongEnough = ownerSinceNs <= sinceNs
        val own = countReporting(sinceNs).mapValues { (_, count) ->
            ZoneCoverage(count.expected, HeartbeatCoverage.of(count.expected, count.reporting, ownsLongEnough))
        }
        val misrouted = misroutedHeartbeatNs.filterValues { it > sinceNs }.keys.filter {
            own[it]?.coverage?.showsReachable != true
        }
        return own + misrouted.associateWith { ZoneCoverage(own[it]?.expected ?: 0, HeartbeatCoverage.SOME) }
    }

    private class ReportingCount(var expected: Int = 0, var reporting: Int = 0)

    private fun countReporting(sinceNs: Long): Map<String, ReportingCount> {
        val counts = HashMap<String, ReportingCount>()
        for (machine in context.shards.ownedMachines()) {
            if (machine.phase == MachinePhase.RETIRING || !isExpectedToReport(machine.name)) continue
            val count = counts.getOrPut(machine.zone) { ReportingCount() }
            count.expected++
            val lastNs = workerStates[machine.name]?.lastHeartbeatNs ?: 0L
            if (lastNs >= ownerSinceNs && lastNs > sinceNs) count.reporting++
        }
        return counts
    }

    /** Whether the machine's record was dropped lately: heartbeats of it are late copies. */
    fun isGone(machineName: String): Boolean = machineName in dropped

    /** Notes what the end of a task tells of its machine. */
    fun recordTaskEvent(event: TaskEvent, workerState: WorkerState) = faults.recordTaskEvent(event, workerState)

    /** Takes a machine that our responses do not reach as faulty, unless the fault is more likely ours. */
    fun markUnreachable(workerState: WorkerState) {
        if (workerState.faultReason != null) return
        faults.markUnreachable(workerState, workerStates.values.filter { it.lastHeartbeatNs > ownerSinceNs })
    }

    /** The health of a machine in this controller's shard, as of now. */
    fun state(machineName: String): MachineHealth {
        val workerState = workerStates[machineName]
        val heartbeat = workerState?.heartbeat
        return when {
            workerState?.faultReason != null -> MachineHealth.FAULTY
            heartbeat == null || workerState.lastHeartbeatNs == 0L || workerState.lastHeartbeatNs < ownerSinceNs ->
                healthWithoutSignOfLife(machineName, workerState)
            isSilent(machineName, workerState.lastHeartbeatNs) -> MachineHealth.SILENT
            heartbeat.terminationNoticeS != null -> MachineHealth.NOTICE
            else -> when (faults.judgeFailures(workerState)) {
                FaultVerdict.FAULTY -> MachineHealth.FAULTY
                FaultVerdict.SUSPECT -> MachineHealth.SUSPECT
                FaultVerdict.NONE -> MachineHealth.OK
            }
        }
    }

    private fun healthWithoutSignOfLife(machineName: String, workerState: WorkerState?): MachineHealth {
        // A machine that just booted has reported, but not yet under our term.
        val sinceNs = maxOf(ownerSinceNs, workerState?.firstHeartbeatNs ?: 0L)
        val silent = isSilent(machineName, sinceNs) && isExpectedToReport(machineName)
        return if (silent) MachineHealth.SILENT else MachineHealth.UNSEEN
    }

    /** It has reported before, to us or to an earlier owner, or has tasks: only then does its silence mean anything. */
    private fun isExpectedToReport(machineName: String): Boolean = workerStates[machineName]?.heartbeat != null ||
        !context.view.isEmpty(machineName) ||
        context.view.lastKnownStatus(machineName)?.let { it.incarnation > 0uL } ?: false

    private fun isSilent(machineName: String, sinceNs: Long): Boolean {
        val leaseNs = context.settings.workers.leaseS * NANOS_PER_SECOND
        val silenceNs = context.nowNs - sinceNs
        if (silenceNs < leaseNs * SILENT_SHARE) return false
        val zone = zoneOf(machineName)
        if (context.zones?.isLost(zone) == true) return silenceNs > leaseNs
        // If no machine of its zone reports, it is more likely this controller that is cut off from there. But the
        // last machines of a shard may be lost together, and their tasks must not wait for ever.
        val heartbeatIntervalS = context.settings.workers.heartbeatIntervalS
        val zoneReports = context.nowNs - (ownedHeartbeatNs[zone] ?: 0L) <
            heartbeatIntervalS * ZONE_REPORTS_HEARTBEATS * NANOS_PER_SECOND
        return zoneReports || silenceNs > leaseNs * SILENT_ZONE_SHARE
    }

    private fun zoneOf(machineName: String): String =
        context.view.machines[machineName]?.zone ?: workerStates[machineName]?.heartbeat?.zone.orEmpty()

    /** What is known of a machine that has been heard of, or null. */
    fun workerStateOrNull(machineName: String): WorkerState? = workerStates[machineName]

    /**
     * What is known of a machine; at first what its earlier owners' shard summaries list. Without that, a failover
     * would forget which images machines hold, and gangs would wait for pulls that other machines do not need.
     */
    fun workerState(machineName: String): WorkerState = workerStates.getOrPut(machineName) { restoreState(machineName) }

    private fun restoreState(machineName: String): WorkerState {
        val workerState = WorkerState(machineName)
        context.view.lastKnownStatus(machineName)?.let(workerState::restoreImages)
        return workerState
    }

    /**
     * Must run before any decision under a new term: a machine's silence counts from when this process became its
     * owner. Otherwise a failover would return every machine it takes over.
     */
    fun observeTerm() {
        val term = context.leadership.term()
        if (term == observedTerm) return
        observedTerm = term
        ownerSinceNs = context.nowNs
        for (workerState in workerStates.values) workerState.termPushedNs = 0
    }

    /** This process was paused for [gapNs]: heartbeats of that time were lost on our side, not on the workers'. */
    fun onProcessPause(gapNs: Long) {
        if (ownerSinceNs != 0L) ownerSinceNs += gapNs
        for (workerState in workerStates.values) {
            if (workerState.lastHeartbeatNs != 0L) workerState.lastHeartbeatNs += gapNs
            workerState.reachability = ResponseReachability()
        }
        ownedHeartbeatNs.replaceAll { _, atNs -> atNs + gapNs }
    }

    /** Forgets a machine whose record was dropped. */
    fun forget(machineName: String) {
        workerStates.remove(machineName)
        dropped.add(machineName, context.nowNs)
    }

    private companion object {
        /** A worker silent for this share of its lease is taken as lost: its machine is returned. */
        const val SILENT_SHARE = 0.75

        /** The same where no machine of its zone reports at all: most network partitions are over by then. */
        const val SILENT_ZONE_SHARE = 3.0

        /** Another machine of the zone must have reported within this many intervals for a silence to count. */
        const val ZONE_REPORTS_HEARTBEATS = 2.0
    }
}
