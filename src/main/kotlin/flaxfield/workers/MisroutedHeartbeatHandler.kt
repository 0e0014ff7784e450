package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.net.Body
import flaxfield.net.Responder
import flaxfield.peers.PeerGateway

/**
 * Answers heartbeats of machines that another controller owns.
 *
 * A worker that does not know our term yet learns it here, with its lease renewed, and is redirected to its owner at
 * its next heartbeat: after a restart of all controllers its lease would not last for a search of its owner. The owner
 * then hears it under the present term from the first heartbeat on.
 *
 * A worker that knows our term has already tried its owner, in vain. Redirected again at once it would wait for two
 * request timeouts, longer than its lease: its heartbeats are forwarded to the owner, and it is redirected only now
 * and then.
 */
internal class MisroutedHeartbeatHandler(
    private val context: ControllerContext,
    private val peers: PeerGateway,
    private val workerHealth: WorkerHealth,
    private val responses: HeartbeatResponder,
) {
    private val leaseNs = context.settings.workers.leaseS * NANOS_PER_SECOND

    /** Announces the term, redirects, or forwards [body], the encoded form of [heartbeat]. */
    fun handle(heartbeat: Heartbeat, workerState: WorkerState, body: ByteArray, term: ULong, responder: Responder) {
        if (heartbeat.fencingToken < term && responses.mayRenew()) {
            workerState.announcedTerm = term
            return responses.renewWithoutDecision(heartbeat, term, responder)
        }
        if (context.zones != null && heartbeat.fencingToken == term) {
            workerHealth.recordMisrouted(heartbeat, workerState)
        }
        val owner = context.shards.owner(heartbeat.machineName, heartbeat.zone)
        val now = context.nowNs
        if (!wasRedirectedRecently(workerState, now) && !hasLostItsOwner(heartbeat, workerState, term, now)) {
            workerState.redirectedNs = now
            workerState.forwardedSinceNs = 0L
            workerState.announcedTerm = null
            return responses.redirect(owner, responder)
        }
        if (workerState.forwardedSinceNs == 0L) workerState.forwardedSinceNs = now
        forward(heartbeat, owner, body, term, responder)
    }

    private fun wasRedirectedRecently(workerState: WorkerState, nowNs: Long): Boolean =
        workerState.redirectedNs != 0L && nowNs - workerState.redirectedNs < leaseNs * REDIRECT_AGAIN_SHARE

    /** Whether the worker has our term from its owner, comes here nevertheless, and has not done so for long. */
    private fun hasLostItsOwner(heartbeat: Heartbeat, workerState: WorkerState, term: ULong, nowNs: Long): Boolean {
        if (heartbeat.fencingToken != term || workerState.announcedTerm == term) return false
        val since = workerState.forwardedSinceNs
        return since == 0L || nowNs - since < leaseNs * FORWARDING_LEASES
    }

    /** The owner's response goes back to the worker; without one, the lease is renewed here. */
    private fun forward(heartbeat: Heartbeat, owner: String?, body: ByteArray, term: ULong, responder: Responder) =
        peers.forwardHeartbeat(owner, body) { status, response ->
            if (response != null) {
                responder.send(status, Body(response, Body.CBOR), null)
            } else {
                responses.renewWithoutDecision(heartbeat, term, responder)
            }
        }

    private companion object {
        /** A worker that returns within this share of its lease after a redirect is not redirected again. */
        const val REDIRECT_AGAIN_SHARE = 0.75

        /** A worker that lost its owner has its heartbeats forwarded for so many leases before the next redirect. */
        const val FORWARDING_LEASES = 2.0
    }
}
