package flaxfield.workers

import flaxfield.arrays.MachineHealth
import flaxfield.arrays.MachineStatus
import flaxfield.arrays.ShardSummaryPages

/**
 * The observed state of one machine's worker. Kept in memory only, by [WorkerHealth], and confined to the owner thread.
 * Times are nanoseconds of the monotonic clock; 0 means never.
 */
class WorkerState(val machineName: String) {
    /** The latest heartbeat received as the machine's owner. */
    var heartbeat: Heartbeat? = null

    /** The latest heartbeat received while another controller owned the machine. */
    var misroutedHeartbeat: Heartbeat? = null

    /** When the latest heartbeat under the then current term arrived. */
    var lastHeartbeatNs: Long = 0

    /** When the first heartbeat of the worker arrived, under any term. */
    var firstHeartbeatNs: Long = 0

    /** The images on the machine with their sizes in GB, least recently used first. */
    val images = LinkedHashMap<String, Double>()

    /** Why the machine counts as faulty; null if it does not. */
    var faultReason: FaultReason? = null

    /** Failures on this machine since a task last completed on it. */
    var failures = MachineFailures()

    /** Since when the gang tasks on the machine have been placed there, as far as this process has seen. */
    val gangTasksSinceNs = HashMap<AttemptId, Long>()

    /** Halts of cancelled tasks that were sent without effect. */
    var haltTracker = HaltTracker()

    /** Whether this controller's responses reach the worker. */
    var reachability = ResponseReachability()

    /** When the term was last pushed to the worker by a direct command. */
    var termPushedNs: Long = 0

    /** When the worker was last redirected to its owner. */
    var redirectedNs: Long = 0

    /** The term that a misrouted worker learned from this controller; null after its redirect. */
    var announcedTerm: ULong? = null

    /** When forwarding of the worker's heartbeats to its owner started; 0 if they are not forwarded. */
    var forwardedSinceNs: Long = 0

    /** When halts were last sent by a direct command. */
    var haltSentNs: Long = 0

    /** The inputs of the latest check that found no task to halt; null if the latest check found one. */
    var inputsWithoutHalts: HaltInputs? = null

    /** Records that [image] is on the machine, and removes the least recently used images beyond the cache size. */
    fun recordImage(image: String, imageGb: Double, cacheGb: Double) {
        images.remove(image)
        images[image] = imageGb
        while (images.size > 1 && images.values.sum() > cacheGb) images.remove(images.keys.first())
    }

    /** Restores the images from an earlier owner's shard summary, with unknown sizes. */
    fun restoreImages(status: MachineStatus) {
        if (images.isEmpty()) for (image in status.images) images[image] = 0.0
    }

    /** Returns the machine's entry in the shard summary, with the given health. */
    fun toMachineStatus(health: MachineHealth): MachineStatus = MachineStatus(
        health,
        heartbeat?.incarnation ?: 0uL,
        heartbeat?.address.orEmpty(),
        ShardSummaryPages.imagesThatFit(images.keys.toList()),
    )
}
