package flaxfield.arrays

/** A machine's health as its shard owner judges it. Stored by ordinal: the order of the constants is fixed. */
enum class MachineHealth {
    /** Known from its record; its worker has not sent this owner a heartbeat yet. */
    UNSEEN,

    /** Its heartbeats arrive. */
    OK,

    /** Its heartbeats have stopped. */
    SILENT,

    /** It fails the tasks that it starts. */
    FAULTY,

    /** The cloud has given notice of its termination. */
    NOTICE,

    /** A task failed on it, and it is not yet known whether the machine or the job is to blame. */
    SUSPECT,
}

/** One machine's row in a shard summary. */
data class MachineStatus(
    val state: MachineHealth,
    val incarnation: ULong,
    /** Where the worker's agent is reached, as host and port. */
    val address: String,
    /** Images that it likely holds, the most recently used last. */
    val images: List<String>,
)
