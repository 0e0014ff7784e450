package flaxfield.workers

import flaxfield.codec.MalformedException
import flaxfield.controller.ControllerContext
import flaxfield.jobs.TaskEventCommitter
import flaxfield.net.Responder
import flaxfield.peers.PeerGateway

/**
 * Entry point of workers' heartbeats: decodes one and hands it to whoever may answer it. That is
 * [OwnedHeartbeatHandler] for machines of this controller's shard, [MisroutedHeartbeatHandler] for those of another
 * shard, and this class itself while there is no term to act under. Used by the owner thread only.
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

    /** Handles a heartbeat that a worker sent to this controller; a malformed one is answered with 400. */
    fun heartbeat(body: ByteArray, responder: Responder) {
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
                answerWithoutTerm(heartbeat, responder)
            context.shards.owns(heartbeat.machineName, heartbeat.zone) ->
                owned.handle(heartbeat, workerState, term, responder)
            else -> misrouted.handle(heartbeat, workerState, body, term, responder)
        }
    }

    /**
     * Handles a heartbeat that a peer forwarded instead of redirecting its worker to this controller. It is never
     * redirected a second time: without a term, or if the machine is not ours, it gets no response, and the peer's
     * request expires.
     */
    fun forwardedHeartbeat(body: ByteArray, responder: Responder) {
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
     * This process is not a member (yet), or its view is behind the worker's fencing token. While the state service
     * does not respond, an outage can't be told from this process alone being refused: the lease is renewed under the
     * worker's own token, as long as [LeaseRenewalPolicy] allows. The same holds while there is no leader: after a
     * restart of all controllers no owner exists to redirect the worker to, and its lease must outlast the election.
     */
    private fun answerWithoutTerm(heartbeat: Heartbeat, responder: Responder) {
        val viewIsBehind = context.view.assignment?.let { heartbeat.fencingToken > it.term } ?: false
        val storeIsSilent = context.storeContact.isUnreachable(context.settings.workers.leaseS)
        if (!viewIsBehind && (storeIsSilent || leaderIsGone()) && responses.mayRenew()) {
            return responses.renewWithoutDecision(heartbeat, heartbeat.fencingToken, responder)
        }
        val owner = context.shards.owner(heartbeat.machineName, heartbeat.zone)
        if (owner != null && owner != context.self.name) {
            responses.redirect(owner, responder)
        } else {
            responses.redirectAnywhere(responder)
        }
    }

    /** Whether there has been an assignment whose leader is gone, and none since. */
    private fun leaderIsGone(): Boolean {
        val assignment = context.view.assignment ?: return false
        return !assignment.leader.isSameProcess(context.view.leader)
    }
}
