package flaxfield.zones

import flaxfield.controller.ControllerContext
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.Job
import flaxfield.jobs.TaskEvent
import flaxfield.quota.TeamUsage
import flaxfield.store.StoreKeys

/**
 * Answers the schedulers' and the fleet's questions about lost and returning zones from the zones' records. With every
 * zone healthy it changes no decision. Owned by the owner thread.
 */
class ZoneRecovery(private val context: ControllerContext) {
    private val view = context.view
    private val times = ZoneTimes(context.settings.workers.leaseS)
    private val openMachines = OpenMachines(view)

    /** The operators' rules; a fleet file replaces the default. */
    var rules: ZoneRules = PriorityTiers

    private val repeatGuard get() = RepeatGuard(rules) { view.zones[it] }

    /** Whether the loss of any zone is being recovered from. */
    val isRecovering: Boolean
        get() = view.zones.isNotEmpty() && view.zones.values.any { it.isRecovering(context.nowMs, times.stableMs) }

    /** Whether [machine] may get new work as far as its zone is concerned. */
    fun acceptsPlacements(machine: Machine): Boolean {
        val record = view.zones[machine.zone] ?: return true
        if (record.state == ZoneState.HEALTHY) return true
        return !record.isClosed && machine.name in openMachines.names(record)
    }

    /** Whether resources on [machine] may be counted on: its zone is neither suspect nor lost. */
    fun isReachable(machine: Machine): Boolean = view.zones[machine.zone]?.isClosed != true

    /** Whether [zone] is lost: then the silence of one of its machines needs no further evidence. */
    fun isLost(zone: String): Boolean = view.zones[zone]?.state == ZoneState.LOST

    /** How many more machines may be rented in [zone] now; [Int.MAX_VALUE] without a limit. */
    fun rentableMachines(zone: String): Int {
        val limit = view.zones[zone]?.let(ReturnRamp::limit) ?: return Int.MAX_VALUE
        val rented = view.machines.values.count { it.zone == zone && it.phase == MachinePhase.UP }
        val requested = view.rentals.values.filter { it.zone == zone }.sumOf { it.count }
        return (limit - rented - requested).coerceAtLeast(0)
    }

    /** Sorts [jobs] in the order of [RecoveryOrder]. */
    fun sort(jobs: Collection<Job>, usage: TeamUsage, overdueBeforeMs: Long): List<Job> {
        val lossMs = view.zones.values.maxOfOrNull { it.lostMs } ?: 0L
        val guaranteed = context.scheduling.guaranteed()
        return RecoveryOrder.sort(jobs, guaranteed, usage, overdueBeforeMs, lossMs) { rules.tier(it.spec) }
    }

    /**
     * Whether [machine], which is silent, may be released for that now. In a lost zone machines with the most urgent
     * tasks are released at once, those of each further tier a stage later, and empty ones last. If the zone returns
     * between two stages, less urgent tasks are still on their machines and no others have been rented for them.
     */
    fun mayReleaseUnreachable(machine: Machine): Boolean {
        val record = view.zones[machine.zone]?.takeIf { it.state == ZoneState.LOST } ?: return true
        val tier = view.jobsOn(machine.name).minOfOrNull { rules.tier(it.spec) } ?: Int.MAX_VALUE
        val moreUrgentTiers = unfinishedTiers().count { it < tier }
        return context.nowMs - record.sinceMs >= times.releaseDelayMs(moreUrgentTiers)
    }

    /**
     * The tier barrier of one scheduling round, where [inFlight] are jobs with unfinished writes; null if none applies.
     */
    fun tierBarrier(inFlight: Collection<Job>): TierBarrier? =
        if (isRecovering) TierBarrier(inFlight) { rules.tier(it.spec) } else null

    /** Whether [job] gets no on-demand machines now, as more urgent jobs are unfinished during a recovery. */
    fun isRestrictedToSpot(job: Job): Boolean {
        if (!isRecovering || context.scheduling.isStarved(job)) return false
        val tier = rules.tier(job.spec)
        return unfinishedTiers().any { it < tier }
    }

    private var tiersVersion = -1L
    private var tiers: Set<Int> = emptySet()

    /** The tiers of all unfinished jobs, computed anew when the jobs have changed. */
    private fun unfinishedTiers(): Set<Int> {
        if (tiersVersion != view.jobsVersion) tiers = view.jobs.values.mapTo(HashSet()) { rules.tier(it.spec) }
        tiersVersion = view.jobsVersion
        return tiers
    }

    /** Whether [machine] may be returned: no task on it is held by the [RepeatGuard]. */
    fun mayReturn(machine: Machine): Boolean =
        view.zones[machine.zone] == null || view.jobsOn(machine.name).none { repeatGuard.isHeld(it, machine.zone) }

    /** Whether [event] must not be committed now. */
    fun mustDefer(event: TaskEvent): Boolean {
        if (view.zones.isEmpty() || event !is TaskEvent.Lost || !event.outcomeUnknown) return false
        val job = view.jobs[event.job] ?: return false
        val zone = view.machines[event.machineName]?.zone ?: return false
        return repeatGuard.mustDefer(job, event, zone)
    }

    /** The keys of the zone records that must not have changed when [events] of [job] are committed. */
    fun fences(job: Job, events: List<TaskEvent>): Set<String> {
        if (!rules.forbidsRepeat(job.spec)) return emptySet()
        val machineNames =
            events.filterIsInstance<TaskEvent.Lost>().filter { it.outcomeUnknown }.map { it.machineName }
        return machineNames.mapNotNull { view.machines[it]?.zone }.mapTo(HashSet()) { StoreKeys.ZONE + it }
    }
}
