package flaxfield.controller

import flaxfield.net.Responder
import flaxfield.peers.PeerGateway
import flaxfield.peers.PeerMessage
import flaxfield.workers.HeartbeatHandler

/** Dispatches messages from other controllers to the modules that handle them. */
internal class PeerMessageRouter(private val peers: PeerGateway, private val heartbeats: HeartbeatHandler) {
    fun route(command: Command.Peer) {
        when (val message = command.message) {
            is PeerMessage.PeerHeartbeat -> peers.receiveHeartbeat(message)
            is PeerMessage.ForwardedHeartbeat ->
                heartbeats.handleForwarded(message.heartbeat, forwardedResponder(message.id, command.respond))
            // Responses arrive on the connection over which the heartbeat was forwarded, not through the queue.
            is PeerMessage.ForwardedResponse -> Unit
        }
    }

    private fun forwardedResponder(id: Long, respond: (PeerMessage) -> Unit) =
        Responder { status, body, _ -> respond(PeerMessage.ForwardedResponse(id, status, body.bytes)) }
}
