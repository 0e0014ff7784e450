package flaxfield.workers

import flaxfield.codec.MalformedException
import flaxfield.controller.ControllerContext
import flaxfield.jobs.TaskEventCommitter
import flaxfield.net.Responder
import flaxfield.peers.PeerGateway

/**
 * Decodes workers' heartbeats and dispatches them. [OwnedHeartbeatHandler] handles the machines of this controller's
 * shard, [MisroutedHeartbeatHandler] those of other shards. Without a current term, this class responds itself.
 * Confined to the owner thread.
 */
class HeartbeatHandler(
    private val context: ControllerContext,
    taskEvents: TaskEventCommitter,
    peers: PeerGateway,
    private val workerHealth: WorkerHealth,
    haltDispatcher: HaltDispatcher,
) {
    private val responses = HeartbeatResponder(context, workerHealth)
    private val owned = OwnedHeartbeatHandler(context, taskEvents, workerHealth, haltDispatcher, responses)
    private val misrouted = MisroutedHeartbeatHandler(context, peers, workerHealth, responses)

    /** Handles a heartbeat that a worker sent to this controller; responds with 400 if it is malformed. */
    fun handle(body: ByteArray, responder: Responder) {
        val heartbeat = try {
            HeartbeatCodec.decode(body)
        } catch (e: MalformedException) {
            return responses.malformed(e.message ?: "malformed", responder)
        }
        val assignment = context.view.assignment
        val term = context.leadership.term()
        val workerState = workerHealth.workerState(heartbeat.machineName)
        when {
            assignment == null || heartbeat.fencingToken > assignment.term || term == null ->
                respondWithoutTerm(heartbeat, responder)
            context.shards.owns(heartbeat.machineName, heartbeat.zone) ->
                owned.handle(heartbeat, workerState, term, responder)
            else -> misrouted.handle(heartbeat, workerState, body, term, responder)
        }
    }

    /**
     * Handles a heartbeat that a peer forwarded on behalf of a worker. It is never redirected again: without a term, or
     * if this controller does not own the machine, it gets no response and the peer's request times out.
     */
    fun handleForwarded(body: ByteArray, responder: Responder) {
        val heartbeat = try {
            HeartbeatCodec.decode(body)
        } catch (ignored: MalformedException) {
            return responses.malformed("malformed", responder)
        }
        val term = context.leadership.term()
        if (term == null || heartbeat.fencingToken > term) return
        if (!context.shards.owns(heartbeat.machineName, heartbeat.zone)) return
        owned.handle(heartbeat, workerHealth.workerState(heartbeat.machineName), term, responder)
    }

    /**
     * Responds while this process is not a member, or while its view is behind the worker's fencing token.
     *
     * While the state service does not respond, this process cannot distinguish an outage from a loss of its own
     * access. It therefore renews the lease under the worker's own token, as long as [LeaseRenewalPolicy] allows. It
     * does the same while there is no leader. After a restart of all controllers there is no owner to redirect the
     * worker to, and the lease must outlast the election.
     */
    private fun respondWithoutTerm(heartbeat: Heartbeat, responder: Responder) {
        val viewIsBehind = context.view.assignment?.let { heartbeat.fencingToken > it.term } ?: false
        val storeIsUnresponsive = context.storeContact.isUnreachable(context.settings.workers.leaseS)
        if (!viewIsBehind && (storeIsUnresponsive || isLeaderless()) && responses.mayRenew()) {
            return responses.renewWithoutDecision(heartbeat, heartbeat.fencingToken, responder)
        }
        val owner = context.shards.owner(heartbeat.machineName, heartbeat.zone)
        if (owner != null && owner != context.self.name) {
            responses.redirect(owner, responder)
        } else {
            responses.redirectWithoutOwner(responder)
        }
    }

    /** Whether the leader of the latest assignment no longer leads. */
    private fun isLeaderless(): Boolean {
        val assignment = context.view.assignment ?: return false
        return !assignment.leader.isSameProcess(context.view.leader)
    }
}
