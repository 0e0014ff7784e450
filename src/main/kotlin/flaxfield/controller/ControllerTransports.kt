package flaxfield.controller

import flaxfield.net.HttpTransport
import flaxfield.peers.PeerConnection
import flaxfield.peers.PeerMessage
import flaxfield.settings.Address

/** The outgoing transports of one controller; the simulation in the tests provides its own. */
class ControllerTransports(
    /** Requests to the store, except watches. */
    val state: HttpTransport,
    /** Watches of the store, of which one is open at a time. */
    val watch: HttpTransport,
    /** Requests to the cloud's machine service. */
    val cloud: HttpTransport,
    /** Opens a connection to a worker. */
    val worker: (Address) -> HttpTransport,
    /** Opens a connection to another controller; the second argument receives its messages. */
    val peer: (Address, (PeerMessage) -> Unit) -> PeerConnection,
    /** Flushes the outbound queue if its oldest message has waited too long. */
    val flushIfOverdue: () -> Unit = {},
)
