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
 * Tracks the workers' heartbeats and derives the health of the machines in this controller's shard. Kept in memory only
 * and confined to the owner thread. Times are nanoseconds of the monotonic clock.
 */
class WorkerHealth(private val context: ControllerContext) {
    private val workerStates = HashMap<String, WorkerState>()
    private val removed = RemovedMachines(context.settings.workers.leaseS)
    private val faults = FaultDetector(context)
    private var observedTerm: ULong? = null

    /** When this process became the owner of its shard under the current term. */
    var ownerSinceNs = 0L
        private set

    /** The time of the last heartbeat from an owned machine, by zone. */
    private val ownedHeartbeatNs = HashMap<String, Long>()

    /** The time of the last heartbeat from a machine of another shard, by zone. */
    private val misroutedHeartbeatNs = HashMap<String, Long>()

    /** Records a heartbeat under the current term: the machine is alive and its [zone] is reachable. */
    fun recordLiveness(workerState: WorkerState, zone: String) {
        workerState.lastHeartbeatNs = context.nowNs
        ownedHeartbeatNs[zone] = workerState.lastHeartbeatNs
    }

    /**
     * Records a heartbeat under the current term from a worker of another shard. If it is newer than the worker's
     * previous one, it proves that the zone is reachable. The first one does not count, because it may be a delayed
     * duplicate.
     */
    fun recordMisrouted(heartbeat: Heartbeat, workerState: WorkerState) {
        val before = workerState.misroutedHeartbeat
        if (before != null && !heartbeat.isNewerThan(before.incarnation, before.sequenceNumber)) return
        workerState.misroutedHeartbeat = heartbeat
        if (before != null) misroutedHeartbeatNs[heartbeat.zone] = context.nowNs
    }

    /**
     * Returns how many machines of each zone send heartbeats to this controller: machines of its shard, and machines
     * that do not reach their owners.
     */
    fun zoneCoverage(): Map<String, ZoneCoverage> {
        val windowNs =
            (context.settings.workers.leaseS * ZoneTimes.HEARTBEAT_TIMEOUT_LEASES * NANOS_PER_SECOND).toLong()
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

    /** Whether the machine's record was deleted recently, so that any heartbeat of it is a delayed duplicate. */
    fun wasRemoved(machineName: String): Boolean = machineName in removed

    /** Updates the failure evidence of a machine after one of its tasks has ended. */
    fun recordTaskEvent(event: TaskEvent, workerState: WorkerState) = faults.recordTaskEvent(event, workerState)

    /** Marks a machine that responses do not reach as faulty, unless the fault is more likely in this controller. */
    fun markUnreachable(workerState: WorkerState) {
        if (workerState.faultReason != null) return
        faults.markUnreachable(workerState, workerStates.values.filter { it.lastHeartbeatNs > ownerSinceNs })
    }

    /** Returns the current health of a machine in this controller's shard. */
    fun health(machineName: String): MachineHealth {
        val workerState = workerStates[machineName]
        val heartbeat = workerState?.heartbeat
        return when {
            workerState?.faultReason != null -> MachineHealth.FAULTY
            heartbeat == null || workerState.lastHeartbeatNs == 0L || workerState.lastHeartbeatNs < ownerSinceNs ->
                healthWithoutHeartbeat(machineName, workerState)
            haveHeartbeatsTimedOut(machineName, workerState.lastHeartbeatNs) -> MachineHealth.SILENT
            heartbeat.terminationNoticeS != null -> MachineHealth.NOTICE
            else -> when (faults.evaluateFailures(workerState)) {
                FaultVerdict.FAULTY -> MachineHealth.FAULTY
                FaultVerdict.SUSPECT -> MachineHealth.SUSPECT
                FaultVerdict.NONE, FaultVerdict.ON_PROBATION -> MachineHealth.OK
            }
        }
    }

    private fun healthWithoutHeartbeat(machineName: String, workerState: WorkerState?): MachineHealth {
        // A machine that has just booted has sent heartbeats, but none under the current term yet.
        val sinceNs = maxOf(ownerSinceNs, workerState?.firstHeartbeatNs ?: 0L)
        val isUnreachable = haveHeartbeatsTimedOut(machineName, sinceNs) && isExpectedToReport(machineName)
        return if (isUnreachable) MachineHealth.SILENT else MachineHealth.UNSEEN
    }

    /**
     * Whether missing heartbeats indicate a failure: the machine has tasks, or has sent a heartbeat to this controller
     * or an earlier owner.
     */
    private fun isExpectedToReport(machineName: String): Boolean = workerStates[machineName]?.heartbeat != null ||
        !context.view.isEmpty(machineName) ||
        context.view.lastKnownStatus(machineName)?.let { it.incarnation > 0uL } ?: false

    private fun haveHeartbeatsTimedOut(machineName: String, sinceNs: Long): Boolean {
        val leaseNs = context.settings.workers.leaseS * NANOS_PER_SECOND
        val sinceHeartbeatNs = context.nowNs - sinceNs
        if (sinceHeartbeatNs < leaseNs * HEARTBEAT_TIMEOUT_LEASES) return false
        val zone = zoneOf(machineName)
        if (context.zones?.isLost(zone) == true) return sinceHeartbeatNs > leaseNs
        // If no machine of the zone sends heartbeats, this controller is more likely partitioned from the zone. But the
        // last machines of a shard may fail together, and their tasks must not wait forever.
        val heartbeatIntervalS = context.settings.workers.heartbeatIntervalS
        val zoneReports = context.nowNs - (ownedHeartbeatNs[zone] ?: 0L) <
            heartbeatIntervalS * ZONE_REPORT_INTERVALS * NANOS_PER_SECOND
        return zoneReports || sinceHeartbeatNs > leaseNs * ZONE_HEARTBEAT_TIMEOUT_LEASES
    }

    private fun zoneOf(machineName: String): String =
        context.view.machines[machineName]?.zone ?: workerStates[machineName]?.heartbeat?.zone.orEmpty()

    /** Returns the state of a worker, or null if there is none. */
    fun workerStateOrNull(machineName: String): WorkerState? = workerStates[machineName]

    /**
     * Returns the state of a worker, restored from the shard summary of an earlier owner on first use. Otherwise, a
     * failover would lose the record of cached images, and gangs would wait for image pulls that other machines do not
     * need.
     */
    fun workerState(machineName: String): WorkerState = workerStates.getOrPut(machineName) { restoreState(machineName) }

    private fun restoreState(machineName: String): WorkerState {
        val workerState = WorkerState(machineName)
        context.view.lastKnownStatus(machineName)?.let(workerState::restoreImages)
        return workerState
    }

    /**
     * Detects a new term; must run before any decision under it. The absence of heartbeats counts only from the time at
     * which this process became the owner. Otherwise, a failover would return every machine that it takes over.
     */
    fun observeTerm() {
        val term = context.leadership.term()
        if (term == observedTerm) return
        observedTerm = term
        ownerSinceNs = context.nowNs
        for (workerState in workerStates.values) workerState.termPushedNs = 0
    }

    /** Excludes a pause of this process from the age of all heartbeats: none could arrive for [gapNs]. */
    fun onProcessPause(gapNs: Long) {
        if (ownerSinceNs != 0L) ownerSinceNs += gapNs
        for (workerState in workerStates.values) {
            if (workerState.lastHeartbeatNs != 0L) workerState.lastHeartbeatNs += gapNs
            workerState.reachability = ResponseReachability()
        }
        ownedHeartbeatNs.replaceAll { _, atNs -> atNs + gapNs }
    }

    /** Removes the state of a machine whose record was deleted. */
    fun forget(machineName: String) {
        workerStates.remove(machineName)
        removed.add(machineName, context.nowNs)
    }

    private companion object {
        /** A machine without heartbeats for this many leases is considered unreachable and is returned. */
        const val HEARTBEAT_TIMEOUT_LEASES = 0.75

        /** The same timeout if no machine of the zone sends heartbeats; most network partitions end sooner. */
        const val ZONE_HEARTBEAT_TIMEOUT_LEASES = 3.0

        /** A zone counts as reporting if one of its machines sent a heartbeat within this many intervals. */
        const val ZONE_REPORT_INTERVALS = 2.0
    }
}
