package flaxfield.controller

import flaxfield.net.Responder
import flaxfield.peers.PeerGateway
import flaxfield.peers.PeerMessage
import flaxfield.workers.HeartbeatHandler

/** Hands each message of another controller to the module that takes it. */
internal class PeerMessageRouter(private val peers: PeerGateway, private val heartbeats: HeartbeatHandler) {
    fun route(command: Command.Peer) {
        when (val message = command.message) {
            is PeerMessage.PeerHeartbeat -> peers.receiveHeartbeat(message)
            is PeerMessage.ForwardedHeartbeat ->
                heartbeats.forwardedHeartbeat(message.heartbeat, forwardedResponder(message.id, command.answer))
            // Answers come back on the connection that the heartbeat was forwarded over, not through the queue.
            is PeerMessage.ForwardedResponse -> Unit
        }
    }

    private fun forwardedResponder(id: Long, answer: (PeerMessage) -> Unit) =
        Responder { status, body, _ -> answer(PeerMessage.ForwardedResponse(id, status, body.bytes)) }
}
