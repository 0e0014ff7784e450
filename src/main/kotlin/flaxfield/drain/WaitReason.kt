package flaxfield.drain

import flaxfield.arrays.MachineHealth

/** Why a drain does not proceed on a machine at this revision. */
sealed interface WaitReason {
    /** The controllers [members] have no fleet file, or have not published it yet. */
    data class WithoutConfig(val members: List<String>) : WaitReason

    /** The class of [job] forbids restarts, so its tasks must run to completion. */
    data class RestartForbidden(val job: String, val jobClass: String, val policy: RepeatPolicy) : WaitReason

    /** A gang or a single task exceeds its team's whole budget. */
    data class LargerThanBudget(val job: String, val team: String, val cost: Capacity, val allowed: Capacity) :
        WaitReason

    /** The next eviction, at [cost], would exceed the team's remaining budget. */
    data class BudgetExhausted(
        val team: String,
        val cost: Capacity,
        val unavailable: Capacity,
        val allowed: Capacity,
    ) : WaitReason

    /** An older drain waits for the budget of [team]. */
    data class OlderDrainFirst(val drain: String, val team: String) : WaitReason

    /** All [tasks] tasks that are left on the machine are already being stopped. */
    data class Stopping(val tasks: Int) : WaitReason

    /** The gang of [job] is being stopped, or is not fully placed. */
    data class GangInTransition(val job: String) : WaitReason

    /** The machine's worker does not send heartbeats, or the machine is about to be replaced as faulty. */
    data class NotReporting(val state: MachineHealth) : WaitReason

    /** The team's ledger has reached the size limit of one value of the state service. */
    data class LedgerFull(val team: String, val entries: Int) : WaitReason

    /** Drains have cordoned [limit] machines, as many as the fleet files allow at once. */
    data class CordonLimitReached(val limit: Int) : WaitReason
}

/** Collects the wait reasons of one plan, by drain and machine. Only the first reason of a machine is recorded. */
internal class WaitReasons {
    private val byDrain = LinkedHashMap<String, LinkedHashMap<String, WaitReason>>()

    fun add(drain: DrainRecord, machineName: String, reason: WaitReason) {
        byDrain.getOrPut(drain.id) { LinkedHashMap() }.putIfAbsent(machineName, reason)
    }

    fun toMap(): Map<String, Map<String, WaitReason>> = byDrain
}
