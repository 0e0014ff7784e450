package flaxfield.fleet

/** The lifecycle phase of a rented machine. */
enum class MachinePhase {
    /** Rented; it may still be booting. */
    UP,

    /** Surplus: no new tasks are placed on it, and its array tasks are moved to other machines. */
    DRAINING,

    /** To be returned, or returned without a confirmation from the cloud so far. */
    RETIRING,
}

/**
 * The leader's reservation of a machine for [tasks] tasks of a gang. It is void in any [term] but its own, and once the
 * gang's [attempt] is placed or the gang has finished. No further write is needed to release it.
 */
data class MachineReservation(
    val job: String,
    val term: ULong,
    val tasks: Int,
    /** Whether tasks of other jobs are preempted to free the machine. */
    val evict: Boolean,
    val attempt: Long,
)

/** The stored record of a machine, from the cloud's response to its rental until the response to its return. */
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
    /** The drain that cordons this machine; null if it is not cordoned. */
    val cordon: String? = null,
) {
    /** Whether its record allows new tasks on it: it is neither draining, retiring nor cordoned. */
    val isSchedulable: Boolean get() = phase == MachinePhase.UP && cordon == null
}
