package flaxfield.drain

import flaxfield.fleet.Machine
import flaxfield.jobs.TaskId

/** Which machines a drain is for: all conditions that are given must hold. */
data class Selector(
    /** Names of machines; empty for any. */
    val machines: Set<String>,
    val machineType: String?,
    val zone: String?,
    /** Only machines rented longer ago than this. */
    val olderThanS: Double?,
    /** Only this share of those that fit, the oldest first. */
    val percent: Double?,
) {
    /** Whether [machine], as it stood when the drain was ordered at [orderedMs], is meant. */
    fun fits(machine: Machine, orderedMs: Long): Boolean = (machines.isEmpty() || machine.name in machines) &&
        (machineType == null || machine.machineType == machineType) &&
        (zone == null || machine.zone == zone) &&
        machine.sinceMs + ((olderThanS ?: 0.0) * MILLIS).toLong() <= orderedMs

    private companion object {
        const val MILLIS = 1000.0
    }
}

/** What an operator has last said of a drain, or what has become of it. */
enum class DrainPhase {
    ACTIVE,
    PAUSED,

    /** Cancelled by an operator; some machines are still kept from new work. */
    CANCELLING,
    CANCELLED,
    DONE,
    FAILED,
    ;

    /** Nothing will change any more. */
    val isOver: Boolean get() = this == CANCELLED || this == DONE || this == FAILED
}

/** An operator's order to replace machines, and how far it is. The machines themselves carry its id as their cordon. */
data class DrainRecord(
    val id: String,
    val selector: Selector,
    val orderedMs: Long,
    val phase: DrainPhase,
    /** How many machines are to be drained; null until the leader has counted them. */
    val target: Int?,
    /** How many have been kept from new work so far. */
    val cordoned: Int,
    /** Why it failed; empty otherwise. */
    val note: String,
    val version: ULong,
)

/** A task that a drain has stopped: the attempt that was stopped, and the drain. */
data class Disruption(val attempt: Long, val drain: String)

/** The tasks of one team that drains have stopped and that are not yet known to run again. */
data class Ledger(val team: String, val entries: Map<TaskId, Disruption>, val version: ULong)
