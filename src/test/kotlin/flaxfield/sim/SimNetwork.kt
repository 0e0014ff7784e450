package flaxfield.sim

/** The connections of a simulated cluster and their faults. Controllers are identified by their index. */
class SimNetwork(private val loop: SimLoop, private val controllerZones: List<String>) {
    /** Each controller's connection to the state service. */
    val storeLinks = controllerZones.map { SimLink(loop) }

    /** Each controller's connection to the workers, for heartbeats and direct commands. */
    val workerLinks = controllerZones.map { SimLink(loop) }

    /** Each controller's connection to the cloud, which always delays some requests and loses some responses. */
    val cloudLinks = controllerZones.map {
        SimLink(loop).apply {
            lateRequestRate = CLOUD_FAULT_RATE
            lostResponseRate = CLOUD_FAULT_RATE
        }
    }

    /** For each controller, whether it is partitioned from its peers. */
    val peersCut = BooleanArray(controllerZones.size)

    /** Whether no controller can connect to another, although all are alive. */
    var peersDisconnected = false

    /** For each controller, whether it is partitioned from all workers, but not from peers and the state service. */
    val workerConnectionsCut = BooleanArray(controllerZones.size)

    /** Whether cut connections are reset at once; otherwise they hang until the sender's timeout. */
    var resetsCutConnections = false

    /** The partitioned zone, whose workers and controllers reach only each other; null without a partition. */
    var partitionedZone: String? = null
        set(value) {
            field = value
            for ((index, zone) in controllerZones.withIndex()) {
                storeLinks[index].cut = value == zone
                cloudLinks[index].cut = value == zone
            }
            if (value == null) deliverBufferedHeartbeats()
        }
    private val bufferedHeartbeats = ArrayList<() -> Unit>()

    /** Buffers a heartbeat across the zone partition; [deliver] is called when the partition heals. */
    fun bufferHeartbeat(deliver: () -> Unit) {
        bufferedHeartbeats += deliver
    }

    private fun deliverBufferedHeartbeats() {
        val delayed = bufferedHeartbeats.toList()
        bufferedHeartbeats.clear()
        for ((position, deliver) in delayed.withIndex()) loop.after((position + 1L) * SimLoop.MS, deliver)
    }

    fun isInPartitionedZone(controller: Int): Boolean = partitionedZone == controllerZones[controller]

    /** Returns whether the zone partition separates [zone] from [controller]. */
    fun arePartitioned(zone: String, controller: Int): Boolean =
        partitionedZone != null && (zone == partitionedZone) != (controllerZones[controller] == partitionedZone)

    /** Returns whether a message of controller [from] reaches its peer [to]. */
    fun connectsPeers(from: Int, to: Int): Boolean = !peersDisconnected &&
        !workerLinks[from].cut &&
        !workerLinks[to].cut &&
        !peersCut[from] &&
        !peersCut[to] &&
        !arePartitioned(controllerZones[from], to)

    private companion object {
        const val CLOUD_FAULT_RATE = 0.02
    }
}
