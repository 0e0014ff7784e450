package flaxfield.drain

import flaxfield.arrays.MachineHealth

/** Why a machine that is being drained is not emptied further at this revision. */
sealed interface WaitReason {
    /** The controllers in [members] run without a fleet file, or have not published it yet. */
    data class WithoutConfig(val members: List<String>) : WaitReason

    /** The class of [job] forbids restarts: its tasks are left to end by themselves. */
    data class RestartForbidden(val job: String, val jobClass: String, val policy: RepeatPolicy) : WaitReason

    /** The gang, or the single task, is larger than its team's whole budget. */
    data class LargerThanBudget(val job: String, val team: String, val cost: Capacity, val allowed: Capacity) :
        WaitReason

    /** The next eviction, which costs [cost], would exceed the team's budget. */
    data class BudgetExhausted(
        val team: String,
        val cost: Capacity,
        val unavailable: Capacity,
        val allowed: Capacity,
    ) : WaitReason

    /** An older drain waits for the budget of [team]. */
    data class OlderDrainFirst(val drain: String, val team: String) : WaitReason

    /** This many tasks have been told to stop and are still on the machine. */
    data class Stopping(val tasks: Int) : WaitReason

    /** The gang is already being stopped or started as a whole. */
    data class GangInTransition(val job: String) : WaitReason

    /** The machine's worker does not report, or the machine is to be replaced as faulty. */
    data class NotReporting(val state: MachineHealth) : WaitReason

    /** The team's ledger holds as many tasks as one value of the state service takes. */
    data class LedgerFull(val team: String, val entries: Int) : WaitReason

    /** As many machines are cordoned as the fleet files allow at once. */
    data class CordonLimitReached(val limit: Int) : WaitReason
}

/** The reasons found while one plan is made: by drain, then by machine. The first reason of a machine stands. */
internal class WaitReasons {
    private val byDrain = LinkedHashMap<String, LinkedHashMap<String, WaitReason>>()

    fun add(drain: DrainRecord, machineName: String, reason: WaitReason) {
        byDrain.getOrPut(drain.id) { LinkedHashMap() }.putIfAbsent(machineName, reason)
    }

    fun toMap(): Map<String, Map<String, WaitReason>> = byDrain
}
