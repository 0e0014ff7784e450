package flaxfield.sim

/**
 * The connections of a simulated cluster and the faults that cut them. Controllers are named by their index in
 * [controllerZones].
 */
class SimNetwork(private val loop: SimLoop, private val controllerZones: List<String>) {
    /** Each controller's connection to the state service. */
    val storeLinks = controllerZones.map { SimLink(loop) }

    /** Each controller's connections to workers and their direct commands. */
    val workerLinks = controllerZones.map { SimLink(loop) }

    /** Each controller's connection to the cloud, which loses some requests and answers all the time. */
    val cloudLinks = controllerZones.map {
        SimLink(loop).apply {
            lateRate = CLOUD_FAULT_RATE
            lostAnswerRate = CLOUD_FAULT_RATE
        }
    }

    /** Controllers that their peers do not reach, nor they them. */
    val peersCut = BooleanArray(controllerZones.size)

    /** No controller connects to another, though all live. */
    var peersRefuse = false

    /** Controllers that no worker reaches, nor they them; their peers and the state service do. */
    val workerConnectionsCut = BooleanArray(controllerZones.size)

    /** Whether connections that a cut hits are reset; else they hang until the sender gives up. */
    var cutsReset = false

    /** A zone that reaches nothing outside it, nor is reached: its workers and controllers see one another only. */
    var zoneCut: String? = null
        set(value) {
            field = value
            for ((index, zone) in controllerZones.withIndex()) {
                storeLinks[index].cut = value == zone
                cloudLinks[index].cut = value == zone
            }
            if (value == null) deliverHeldHeartbeats()
        }
    private val heldHeartbeats = ArrayList<() -> Unit>()

    /** Keeps a heartbeat that the cut of a zone holds up; [deliver] is called some time after the cut is over. */
    fun holdHeartbeat(deliver: () -> Unit) {
        heldHeartbeats += deliver
    }

    private fun deliverHeldHeartbeats() {
        val late = heldHeartbeats.toList()
        heldHeartbeats.clear()
        for ((position, deliver) in late.withIndex()) loop.after((position + 1L) * SimLoop.MS, deliver)
    }

    fun isInCutZone(controller: Int): Boolean = zoneCut == controllerZones[controller]

    /** Whether the cut of a zone is between [zone] and [controller]. */
    fun isCutBetween(zone: String, controller: Int): Boolean =
        zoneCut != null && (zone == zoneCut) != (controllerZones[controller] == zoneCut)

    /** Whether a message of the controller [from] reaches its peer [to]. */
    fun connectsPeers(from: Int, to: Int): Boolean = !peersRefuse &&
        !workerLinks[from].cut &&
        !workerLinks[to].cut &&
        !peersCut[from] &&
        !peersCut[to] &&
        !isCutBetween(controllerZones[from], to)

    private companion object {
        const val CLOUD_FAULT_RATE = 0.02
    }
}
