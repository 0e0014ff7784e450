package flaxfield.workers

import flaxfield.NANOS_PER_SECOND
import flaxfield.controller.ControllerContext
import flaxfield.net.Body
import flaxfield.net.Responder
import flaxfield.peers.PeerGateway

/**
 * Responds to heartbeats of machines that another controller owns.
 *
 * A worker with an older fencing token is given the current term and a renewed lease, and is redirected to its owner at
 * its next heartbeat. After a restart of all controllers, its lease would not outlast the search for its owner. The
 * owner then receives heartbeats under the current term from the first one on.
 *
 * A worker that knows the current term has already failed to reach its owner. An immediate second redirect would cost
 * it two request timeouts, which exceed its lease. Its heartbeats are therefore forwarded to the owner, and it is
 * redirected only at long intervals.
 */
internal class MisroutedHeartbeatHandler(
    private val context: ControllerContext,
    private val peers: PeerGateway,
    private val workerHealth: WorkerHealth,
    private val responses: HeartbeatResponder,
) {
    private val leaseNs = context.settings.workers.leaseS * NANOS_PER_SECOND

    /** Responds with the term, redirects the worker, or forwards [body], the encoded form of [heartbeat]. */
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
        if (!wasRedirectedRecently(workerState, now) && !mayForward(heartbeat, workerState, term, now)) {
            workerState.redirectedNs = now
            workerState.forwardedSinceNs = 0L
            workerState.announcedTerm = null
            return responses.redirect(owner, responder)
        }
        if (workerState.forwardedSinceNs == 0L) workerState.forwardedSinceNs = now
        forward(heartbeat, owner, body, term, responder)
    }

    private fun wasRedirectedRecently(workerState: WorkerState, nowNs: Long): Boolean =
        workerState.redirectedNs != 0L && nowNs - workerState.redirectedNs < leaseNs * MIN_REDIRECT_INTERVAL_LEASES

    /**
     * Whether the worker has learned the term from its owner but no longer reaches it, and its heartbeats have not been
     * forwarded for too long.
     */
    private fun mayForward(heartbeat: Heartbeat, workerState: WorkerState, term: ULong, nowNs: Long): Boolean {
        if (heartbeat.fencingToken != term || workerState.announcedTerm == term) return false
        val since = workerState.forwardedSinceNs
        return since == 0L || nowNs - since < leaseNs * MAX_FORWARDING_LEASES
    }

    /** Forwards [body] to the owner and relays its response; renews the lease here if there is none. */
    private fun forward(heartbeat: Heartbeat, owner: String?, body: ByteArray, term: ULong, responder: Responder) =
        peers.forwardHeartbeat(owner, body) { status, response ->
            if (response != null) {
                responder.send(status, Body(response, Body.CBOR), null)
            } else {
                responses.renewWithoutDecision(heartbeat, term, responder)
            }
        }

    private companion object {
        /** The minimum time between two redirects of a worker, in leases. */
        const val MIN_REDIRECT_INTERVAL_LEASES = 0.75

        /** The number of leases for which heartbeats are forwarded before the worker is redirected again. */
        const val MAX_FORWARDING_LEASES = 2.0
    }
}
