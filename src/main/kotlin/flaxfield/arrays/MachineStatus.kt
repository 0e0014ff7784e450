package flaxfield.arrays

/** A machine's health as determined by its shard owner. Stored by ordinal: the order of the constants is fixed. */
enum class MachineHealth {
    /** It has a record, but this owner has not received a heartbeat from its worker yet. */
    UNSEEN,

    /** Its heartbeats arrive as expected. */
    OK,

    /** It is unreachable: its heartbeats have stopped. */
    SILENT,

    /** Tasks that start on it fail because of the machine. */
    FAULTY,

    /** The cloud has given notice of its termination. */
    NOTICE,

    /** A task failed on it, and it is not known yet whether the machine or the job caused the failure. */
    SUSPECT,
}

/** One machine's row in a shard summary. */
data class MachineStatus(
    val health: MachineHealth,
    val incarnation: ULong,
    /** The address of the worker's agent, as host and port. */
    val address: String,
    /** The images that are likely cached on it, the most recently used last. */
    val images: List<String>,
)
