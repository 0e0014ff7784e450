package flaxfield.sim

import flaxfield.net.Response

/** Workers' heartbeats on their way to the controllers, and copies of them that arrive late. */
class SimHeartbeats(
    private val loop: SimLoop,
    private val controllerNames: List<String>,
    private val network: SimNetwork,
    private val requests: SimRequests,
) {
    /** Chance that a copy of a heartbeat arrives once more, much later, at any controller. */
    var duplicateRate = 0.0

    /** Chance that a copy of a heartbeat is kept and reaches every controller just as the next leader begins. */
    var duplicateForNextLeaderRate = 0.0
    private val keptForNextLeader = ArrayList<ByteArray>()

    /** Sends a heartbeat of a worker in [zone] to the controller of that name; [done] gets null without an answer. */
    fun send(zone: String, controllerName: String, body: ByteArray, done: (Response?) -> Unit) {
        val to = controllerNames.indexOf(controllerName)
        if (network.isCutBetween(zone, to)) {
            // The cut holds the packets: the heartbeat arrives with the heal, long after the worker has given up.
            network.holdHeartbeat { deliver(to, body) }
            return loop.after(TIMEOUT_MS * SimLoop.MS) { done(null) }
        }
        if (network.workerConnectionsCut[to]) {
            val failsAfterMs = if (network.cutsReset) RESET_MS else TIMEOUT_MS
            return loop.after(failsAfterMs * SimLoop.MS) { done(null) }
        }
        deliver(to, body, done)
        duplicate(body)
    }

    private fun duplicate(body: ByteArray) {
        if (loop.random.nextDouble() < duplicateRate) {
            val delayNs = loop.random.nextLong(2 * SimLoop.SECOND, 20 * SimLoop.SECOND)
            val to = loop.random.nextInt(controllerNames.size)
            loop.after(delayNs) { deliver(to, body) }
        }
        val keeps = loop.random.nextDouble() < duplicateForNextLeaderRate
        if (keeps && keptForNextLeader.size < MAX_KEPT) keptForNextLeader += body
    }

    /** There is a new leader: the kept copies arrive before it has written its assignment, and again afterwards. */
    fun deliverToNewLeader() {
        val late = keptForNextLeader.toList()
        keptForNextLeader.clear()
        for (body in late) {
            for (to in controllerNames.indices) {
                for (ms in NEW_LEADER_DELAYS_MS) loop.after(ms * SimLoop.MS) { deliver(to, body) }
            }
        }
    }

    private fun deliver(to: Int, body: ByteArray, done: (Response?) -> Unit = {}) {
        val request = SimRequest("POST", SimRequests.HEARTBEAT_PATH, body, TIMEOUT_MS)
        requests.send(to, request, network.workerLinks[to], done)
    }

    private companion object {
        const val TIMEOUT_MS = 4_000L

        /** When the sender learns that its connection was reset. */
        const val RESET_MS = 1L
        const val MAX_KEPT = 200
        val NEW_LEADER_DELAYS_MS = longArrayOf(1, 40, 400)
    }
}
