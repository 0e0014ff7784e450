package flaxfield.peers

/** A message between controllers. Messages are hints that may be lost: no decision relies on their delivery. */
sealed interface PeerMessage {
    /** Reports that the controller [from] is alive and that the store last responded to it [storeResponseAgeMs] ago. */
    data class PeerHeartbeat(val from: String, val storeResponseAgeMs: Long) : PeerMessage

    /** A worker's heartbeat that arrived at the controller [from], which does not own the machine. */
    class ForwardedHeartbeat(val from: String, val id: Long, val heartbeat: ByteArray) : PeerMessage

    /** The owner's response to the [ForwardedHeartbeat] with the same [id]. */
    class ForwardedResponse(val id: Long, val status: Int, val body: ByteArray) : PeerMessage
}
