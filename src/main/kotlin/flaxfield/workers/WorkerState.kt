package flaxfield.workers

import flaxfield.arrays.MachineHealth
import flaxfield.arrays.MachineStatus
import flaxfield.arrays.ShardSummaryPages

/** What this process has seen of one machine's worker. */
class WorkerState(val machineName: String) {
    var heartbeat: Heartbeat? = null

    /** Its latest report that came here though another node is its owner. */
    var passed: Heartbeat? = null

    /** When a report that is a sign of life last came: one under the term of its time. */
    var lastHeartbeatNs: Long = 0

    /** When it was first heard of, under whatever epoch. */
    var firstNs: Long = 0

    /** Images in the order of their last use; the cache keeps the latest. */
    val images = LinkedHashMap<String, Double>()
    var faulty: String? = null
    var failures = MachineFailures()

    /** Halts of cancelled tasks that were answered and do not show. */
    var halting = HaltTracker()

    /** Whether our answers reach it. */
    var reachability = ResponseReachability()
    var pushedNs: Long = 0
    var redirectedNs: Long = 0

    /** The term that it first heard of here though another node is its owner; null once it has been sent there. */
    var greetedTerm: ULong? = null

    /** Since when its reports are handed on to its owner; 0 if they are not. */
    var relayedNs: Long = 0
    var haltedNs: Long = 0

    /** Notes that [image] is on the machine, and forgets what no longer fits its cache. */
    fun hasImage(image: String, gb: Double, cacheGb: Double) {
        images.remove(image)
        images[image] = gb
        while (images.size > 1 && images.values.sum() > cacheGb) images.remove(images.keys.first())
    }

    /** Takes over what an earlier owner's summary knew. */
    fun inherit(room: MachineStatus) {
        if (images.isEmpty()) for (i in room.images) images[i] = 0.0
    }

    fun room(state: MachineHealth): MachineStatus = MachineStatus(
        state,
        heartbeat?.incarnation ?: 0uL,
        heartbeat?.address.orEmpty(),
        ShardSummaryPages.imagesThatFit(images.keys.toList()),
    )
}
