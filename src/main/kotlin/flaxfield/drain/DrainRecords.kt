package flaxfield.drain

import flaxfield.fleet.Machine
import flaxfield.jobs.TaskId

/** Which machines a drain is for: all conditions that are set must hold. */
data class Selector(
    /** Names of machines; empty for any. */
    val machines: Set<String>,
    val machineType: String?,
    val zone: String?,
    /** Only machines rented longer ago than this. */
    val olderThanS: Double?,
    /** Only this percentage of those that match, the oldest first. */
    val percent: Double?,
) {
    /** Whether [machine] is selected by a drain that was ordered at [orderedMs]. */
    fun matches(machine: Machine, orderedMs: Long): Boolean = (machines.isEmpty() || machine.name in machines) &&
        (machineType == null || machine.machineType == machineType) &&
        (zone == null || machine.zone == zone) &&
        machine.rentedMs + ((olderThanS ?: 0.0) * MILLIS).toLong() <= orderedMs

    private companion object {
        const val MILLIS = 1000.0
    }
}

/** The state of a drain, by the operator's last order or by its outcome. */
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

/** An operator's order to drain machines, and its progress. The machines carry its id as their cordon. */
data class DrainRecord(
    val id: String,
    val selector: Selector,
    val orderedMs: Long,
    val phase: DrainPhase,
    /** How many machines are to be drained; null until the leader has counted them. */
    val target: Int?,
    /** How many machines have been cordoned so far. */
    val cordoned: Int,
    /** Why the drain failed; empty otherwise. */
    val note: String,
    val version: ULong,
)

/** A task evicted by a drain: the attempt that was stopped, and the drain's id. */
data class Disruption(val attempt: Long, val drain: String)

/** The tasks of one team that drains have evicted and that are not yet proven to run again. */
data class Ledger(val team: String, val entries: Map<TaskId, Disruption>, val version: ULong)
