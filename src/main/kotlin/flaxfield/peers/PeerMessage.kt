package flaxfield.peers

/** What controllers tell one another. Messages are hints that may be lost: no decision depends on one. */
sealed interface PeerMessage {
    /** The controller [from] is alive, and the state service last answered it [stateAgeMs] ago. */
    data class PeerHeartbeat(val from: String, val stateAgeMs: Long) : PeerMessage

    /** A worker's heartbeat that reached the controller [from], which does not own the machine. */
    class ForwardedHeartbeat(val from: String, val id: Long, val heartbeat: ByteArray) : PeerMessage

    /** The owner's response to the [ForwardedHeartbeat] with the same [id]. */
    class ForwardedResponse(val id: Long, val status: Int, val body: ByteArray) : PeerMessage
}
