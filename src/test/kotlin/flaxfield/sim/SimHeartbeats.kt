package flaxfield.sim

import flaxfield.net.Response

/** Delivers the workers' heartbeats to the controllers, and delayed duplicates of them. */
class SimHeartbeats(
    private val loop: SimLoop,
    private val controllerNames: List<String>,
    private val network: SimNetwork,
    private val requests: SimRequests,
) {
    /** The probability that a duplicate of a heartbeat arrives 2 to 20 s later at a random controller. */
    var duplicateRate = 0.0

    /** The probability that a duplicate of a heartbeat reaches every controller just after the next leader election. */
    var duplicateForNextLeaderRate = 0.0
    private val duplicatesForNextLeader = ArrayList<ByteArray>()

    /** Descriptions of the reports and responses that exceed the limit of the protocol; such reports get 413. */
    val oversizedMessages = ArrayList<String>()

    /** Sends the heartbeat of a worker in [zone] to [controllerName]; [done] gets null if there is no response. */
    fun send(zone: String, controllerName: String, body: ByteArray, done: (Response?) -> Unit) {
        val to = controllerNames.indexOf(controllerName)
        if (network.arePartitioned(zone, to)) {
            // The partition buffers packets: the heartbeat arrives when it heals, long after the worker's timeout.
            network.bufferHeartbeat { deliver(to, body) }
            return loop.after(TIMEOUT_MS * SimLoop.MS) { done(null) }
        }
        if (network.workerConnectionsCut[to]) {
            val failureDelayMs = if (network.resetsCutConnections) RESET_MS else TIMEOUT_MS
            return loop.after(failureDelayMs * SimLoop.MS) { done(null) }
        }
        val bytes = SimMessageSize.jsonBytes(body)
        if (bytes > SimMessageSize.MAX_BYTES) {
            oversizedMessages += "report of $bytes bytes"
            return loop.after(RESET_MS * SimLoop.MS) { done(Response(TOO_LARGE, ByteArray(0))) }
        }
        deliver(to, body) { response ->
            recordSize(response)
            done(response)
        }
        duplicate(body)
    }

    private fun recordSize(response: Response?) {
        val bytes = SimMessageSize.jsonBytes(response?.body ?: return)
        if (bytes > SimMessageSize.MAX_BYTES) oversizedMessages += "response of $bytes bytes"
    }

    private fun duplicate(body: ByteArray) {
        if (loop.random.nextDouble() < duplicateRate) {
            val delayNs = loop.random.nextLong(2 * SimLoop.SECOND, 20 * SimLoop.SECOND)
            val to = loop.random.nextInt(controllerNames.size)
            loop.after(delayNs) { deliver(to, body) }
        }
        val isBuffered = loop.random.nextDouble() < duplicateForNextLeaderRate
        if (isBuffered && duplicatesForNextLeader.size < MAX_BUFFERED_DUPLICATES) duplicatesForNextLeader += body
    }

    /** Delivers the buffered duplicates after an election, before and after the new leader assigns the shards. */
    fun deliverToNewLeader() {
        val duplicates = duplicatesForNextLeader.toList()
        duplicatesForNextLeader.clear()
        for (body in duplicates) {
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

        /** The time until the sender detects that its connection was reset. */
        const val RESET_MS = 1L
        const val TOO_LARGE = 413
        const val MAX_BUFFERED_DUPLICATES = 200
        val NEW_LEADER_DELAYS_MS = longArrayOf(1, 40, 400)
    }
}
