package flaxfield.fleet

/** How far a machine is between its rental and its return. */
enum class MachinePhase {
    /** Rented; it may still be booting. */
    UP,

    /** No longer needed: nothing new is placed on it, and array tasks on it are moved away. */
    DRAINING,

    /** About to be returned, or returned without an answer from the cloud so far. */
    RETIRING,
}

/**
 * The leader's reservation of a machine for [tasks] tasks of a gang. It is void under any other term than the one it
 * was made in, and once the gang's [attempt] is placed or the gang has finished: no further write is needed to release
 * it.
 */
data class MachineReservation(
    val job: String,
    val term: ULong,
    val tasks: Int,
    /** Whether tasks of other jobs are preempted to make the machine free. */
    val evict: Boolean,
    val attempt: Long,
)

/** The stored record of a rented machine, from the answer to its rental until the answer to its return. */
data class Machine(
    val name: String,
    val machineType: String,
    val zone: String,
    val preemptible: Boolean,
    val phase: MachinePhase,
    /** When it was rented; wall clock in milliseconds. */
    val rentedMs: Long,
    val reservation: MachineReservation?,
    val version: ULong,
    /** The drain that keeps new work off this machine; null if none does. */
    val cordon: String? = null,
) {
    /** Whether its record allows new work on it. */
    val isSchedulable: Boolean get() = phase == MachinePhase.UP && cordon == null
}
