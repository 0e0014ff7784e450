package flaxfield.workers

import flaxfield.arrays.MachineHealth
import flaxfield.arrays.MachineStatus
import flaxfield.arrays.ShardSummaryPages

/**
 * What this process has seen of one machine's worker. Held in memory only, by [WorkerHealth]; owned by the owner
 * thread. Times are nanoseconds of the monotonic clock, 0 for never.
 */
class WorkerState(val machineName: String) {
    /** The latest heartbeat that came here as the machine's owner. */
    var heartbeat: Heartbeat? = null

    /** The latest heartbeat that came here although another controller owns the machine. */
    var misroutedHeartbeat: Heartbeat? = null

    /** When a heartbeat that is a sign of life last came: one under the term of its time. */
    var lastHeartbeatNs: Long = 0

    /** When the worker was first heard of, under any term. */
    var firstHeartbeatNs: Long = 0

    /** Images and their sizes in GB, in the order of their last use; the cache keeps the latest. */
    val images = LinkedHashMap<String, Double>()

    /** Why the machine is taken as faulty; null if it is not. */
    var faultReason: FaultReason? = null

    /** Jobs whose tasks failed here since a task last completed. */
    var failures = MachineFailures()

    /** Halts of cancelled tasks that were sent and show no effect. */
    var haltTracker = HaltTracker()

    /** Whether our responses reach the worker. */
    var reachability = ResponseReachability()

    /** When the term was last pushed to the worker by a direct command. */
    var termPushedNs: Long = 0

    /** When the worker was last redirected to its owner. */
    var redirectedNs: Long = 0

    /** The term that the worker first learned here although another controller owns it; null after its redirect. */
    var announcedTerm: ULong? = null

    /** Since when the worker's heartbeats are forwarded to its owner; 0 if they are not. */
    var forwardedSinceNs: Long = 0

    /** When halts were last sent by a direct command. */
    var haltSentNs: Long = 0

    /** Notes that [image] is on the machine, and forgets the least recently used ones that no longer fit its cache. */
    fun recordImage(image: String, imageGb: Double, cacheGb: Double) {
        images.remove(image)
        images[image] = imageGb
        while (images.size > 1 && images.values.sum() > cacheGb) images.remove(images.keys.first())
    }

    /** Takes over the images that an earlier owner's shard summary lists; their sizes are not known. */
    fun restoreImages(status: MachineStatus) {
        if (images.isEmpty()) for (image in status.images) images[image] = 0.0
    }

    /** The machine's entry in the shard summary, with the given health. */
    fun toMachineStatus(health: MachineHealth): MachineStatus = MachineStatus(
        health,
        heartbeat?.incarnation ?: 0uL,
        heartbeat?.address.orEmpty(),
        ShardSummaryPages.imagesThatFit(images.keys.toList()),
    )
}
