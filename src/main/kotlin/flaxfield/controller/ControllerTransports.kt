package flaxfield.controller

import flaxfield.net.HttpTransport
import flaxfield.peers.PeerConnection
import flaxfield.peers.PeerMessage
import flaxfield.settings.Address

/** The connections out of one controller; the simulation of the tests gives its own. */
class ControllerTransports(
    /** To the store, for everything but watches. */
    val state: HttpTransport,
    /** To the store, for the one watch that is open at a time. */
    val watch: HttpTransport,
    /** To the cloud's machine service. */
    val cloud: HttpTransport,
    /** Opens a connection to a worker. */
    val worker: (Address) -> HttpTransport,
    /** Opens a connection to another controller; the second argument takes its messages. */
    val peer: (Address, (PeerMessage) -> Unit) -> PeerConnection,
    /** Flushes messages that have waited for too long to be sent. */
    val flushIfOverdue: () -> Unit = {},
)
