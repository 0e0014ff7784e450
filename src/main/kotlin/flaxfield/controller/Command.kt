package flaxfield.controller

import flaxfield.net.Request
import flaxfield.peers.PeerMessage

/** A unit of work in the queue of the owner thread. */
sealed interface Command {
    /** An HTTP request from a worker or a user. */
    class Http(val request: Request) : Command

    /** A message from another controller; [respond] sends a reply over the same connection. */
    class Peer(val message: PeerMessage, val respond: (PeerMessage) -> Unit) : Command

    /** A follow-up task of this process, such as the callback of a completed request to the store. */
    class Run(val block: () -> Unit) : Command
}
