package flaxfield.controller

import flaxfield.net.Request
import flaxfield.peers.PeerMessage

/** What the owner thread takes from its queue. */
sealed interface Command {
    /** A request of a worker or a user. */
    class Http(val request: Request) : Command

    /** A message of another controller; [answer] sends one back over the same connection. */
    class Peer(val message: PeerMessage, val answer: (PeerMessage) -> Unit) : Command

    /** A follow-up of this process itself, such as the callback of an answered request. */
    class Run(val block: () -> Unit) : Command
}
