package flaxfield.zones

import flaxfield.arrays.MachineHealth
import flaxfield.controller.ControllerContext
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.Job
import flaxfield.jobs.TaskEvent
import flaxfield.quota.TeamUsage
import flaxfield.store.StoreKeys

/**
 * What the schedulers ask of the zones' records; the owner thread calls it. With every zone healthy it changes no
 * decision.
 */
class ZoneRecovery(private val context: ControllerContext) {
    private val view = context.view

    /** What operators have said; a fleet file replaces it. */
    var rules: ZoneRules = PriorityTiers
    private val guard get() = RepeatGuard(rules) { view.zones[it] }

    /** Whether a loss is being recovered from. */
    val isRecovering: Boolean
        get() = view.zones.isNotEmpty() && view.zones.values.any { it.isRecovering(context.nowMs, times.calmMs) }
    private val times = ZoneTimes(context.settings.workers.leaseS)

    /** Whether [machine] may get new work, as far as its zone is concerned. */
    fun acceptsPlacements(machine: Machine): Boolean {
        val record = view.zones[machine.zone] ?: return true
        if (record.state == ZoneState.HEALTHY) return true
        return !record.closed && machine.name in opened(record)
    }

    /** Whether room on [machine] may be counted on: its zone is not silent. */
    fun isReachable(machine: Machine): Boolean = view.zones[machine.zone]?.closed != true

    /** Whether [zone] is lost: the silence of one of its machines needs no other sign. */
    fun isLost(zone: String): Boolean = view.zones[zone]?.state == ZoneState.LOST

    /** How many more machines may be rented in [zone] now. */
    fun mayRent(zone: String): Int {
        val limit = view.zones[zone]?.let(ReturnRamp::limit) ?: return Int.MAX_VALUE
        val there = view.machines.values.count { it.zone == zone && it.phase == MachinePhase.UP }
        val coming = view.rentals.values.filter { it.zone == zone }.sumOf { it.count }
        return (limit - there - coming).coerceAtLeast(0)
    }

    /** [jobs] in the order of a recovery. */
    fun sort(jobs: Collection<Job>, use: TeamUsage, overdueBeforeMs: Long): List<Job> = RecoveryOrder.sort(
        jobs,
        context.scheduling.guaranteed(),
        use,
        overdueBeforeMs,
        view.zones.values.maxOfOrNull {
            it.lostMs
        } ?: 0L,
    ) { rules.tier(it.spec) }

    /**
     * Whether [machine], which is silent, may be given up for that now. In a lost zone machines with the most urgent
     * tasks are due at once and each tier after it a stage later; empty ones are due last. A zone that comes back
     * between two stages finds its lower tiers' machines as they were, and nobody has rented others in their place.
     */
    fun mayReleaseSilent(machine: Machine): Boolean {
        val record = view.zones[machine.zone]?.takeIf { it.state == ZoneState.LOST } ?: return true
        val tier = view.jobsOn(machine.name).minOfOrNull { rules.tier(it.spec) } ?: Int.MAX_VALUE
        val before = tiers().count { it < tier }
        return context.nowMs - record.sinceMs >= times.stageMs(before)
    }

    /** Keeps less urgent work from going ahead of the jobs [underWay]; null while nothing is being recovered from. */
    fun gate(underWay: Collection<Job>): TierGate? =
        if (isRecovering) TierGate(underWay) { rules.tier(it.spec) } else null

    /**
     * Whether [job] must do with cheap machines for now: a loss is being recovered from, and more urgent work is
     * unfinished.
     */
    fun isRestrictedToSpot(job: Job): Boolean {
        if (!isRecovering || context.scheduling.isStarved(job)) return false
        val tier = rules.tier(job.spec)
        return tiers().any { it < tier }
    }

    private var tiersAt = -1L
    private var tiers: Set<Int> = emptySet()

    /** The tiers of all unfinished work. */
    private fun tiers(): Set<Int> {
        if (tiersAt != view.jobsVersion) tiers = view.jobs.values.mapTo(HashSet()) { rules.tier(it.spec) }
        tiersAt = view.jobsVersion
        return tiers
    }

    /** Whether [machine] may be returned: nothing on it must be left alone. */
    fun mayReturn(machine: Machine): Boolean =
        view.zones[machine.zone] == null || view.jobsOn(machine.name).none { guard.isHeld(it, machine.zone) }

    /** Whether [event] must not be committed now. */
    fun mustDefer(event: TaskEvent): Boolean {
        if (view.zones.isEmpty() || event !is TaskEvent.Lost || !event.outcomeUnknown) return false
        val job = view.jobs[event.job] ?: return false
        val zone = view.machines[event.machineName]?.zone ?: return false
        return guard.mustDefer(job, event, zone)
    }

    /** The records that must not have changed when [events] of [job] are committed. */
    fun fences(job: Job, events: List<TaskEvent>): Set<String> {
        if (!rules.forbidsRepeat(job.spec)) return emptySet()
        val unknown = events.filterIsInstance<TaskEvent.Lost>().filter { it.outcomeUnknown }.map { it.machineName }
        return unknown.mapNotNull { view.machines[it]?.zone }.mapTo(HashSet()) { StoreKeys.ZONE + it }
    }

    private class Opened(val record: ZoneRecord, val machinesVersion: Long, val names: Set<String>)

    private val openedBy = HashMap<String, Opened>()

    /**
     * The machines of a returning zone that may get new work. The same on each node at the same revision, and the same
     * from one moment to the next while they live: by name among those not known to be silent or faulty.
     */
    private fun opened(record: ZoneRecord): Set<String> {
        val known = openedBy[record.zone]
        if (known != null && known.record == record && known.machinesVersion == view.machinesVersion) return known.names
        val limit = ReturnRamp.limit(record) ?: Int.MAX_VALUE
        val names = view.machines.values
            .filter { it.zone == record.zone && it.takesWork && view.machineStatus(it.name)?.state !in GIVEN_UP }
            .map { it.name }.sorted().take(limit).toSet()
        openedBy[record.zone] = Opened(record, view.machinesVersion, names)
        return names
    }

    private companion object {
        val GIVEN_UP = setOf(MachineHealth.SILENT, MachineHealth.FAULTY)
    }
}
