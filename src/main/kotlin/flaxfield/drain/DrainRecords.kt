package flaxfield.drain

import flaxfield.fleet.Machine
import flaxfield.jobs.TaskId

/** Selects the machines of a drain: a machine must meet all conditions that are set. */
data class Selector(
    /** The names of the machines; empty for any machine. */
    val machines: Set<String>,
    val machineType: String?,
    val zone: String?,
    /** Selects only machines that were rented longer ago than this. */
    val olderThanS: Double?,
    /** Selects only this percentage of the machines that match, the oldest first. */
    val percent: Double?,
) {
    /** Returns whether [machine] is selected by a drain that was ordered at [orderedMs], regardless of [percent]. */
    fun matches(machine: Machine, orderedMs: Long): Boolean = (machines.isEmpty() || machine.name in machines) &&
        (machineType == null || machine.machineType == machineType) &&
        (zone == null || machine.zone == zone) &&
        machine.rentedMs + ((olderThanS ?: 0.0) * MILLIS_PER_SECOND).toLong() <= orderedMs

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}

/** The state of a drain: the operator's last order, or the outcome. */
enum class DrainPhase {
    ACTIVE,
    PAUSED,

    /** Cancelled by an operator; some machines are still cordoned. */
    CANCELLING,
    CANCELLED,
    DONE,
    FAILED,
    ;

    /** Whether the drain has reached a final phase. */
    val isFinished: Boolean get() = this == CANCELLED || this == DONE || this == FAILED
}

/** The stored state of a drain. Machines that the drain has cordoned carry its id in their `cordon` field. */
data class DrainRecord(
    val id: String,
    val selector: Selector,
    val orderedMs: Long,
    val phase: DrainPhase,
    /** The number of machines to drain; null until the leader has counted them. */
    val target: Int?,
    /** The number of machines cordoned so far. */
    val cordoned: Int,
    /** Why the drain failed; empty otherwise. */
    val note: String,
    val version: ULong,
)

/** The eviction of a task: the attempt that was stopped, and the id of the drain that stopped it. */
data class Disruption(val attempt: Long, val drain: String)

/** The tasks of one team that drains have evicted and that are not yet proven to run again. They are unavailable. */
data class Ledger(val team: String, val entries: Map<TaskId, Disruption>, val version: ULong)
