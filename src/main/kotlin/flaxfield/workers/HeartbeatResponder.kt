package flaxfield.workers

import flaxfield.MILLIS_PER_SECOND
import flaxfield.codec.Cbor
import flaxfield.controller.ControllerContext
import flaxfield.net.Body
import flaxfield.net.HttpStatus
import flaxfield.net.Responder
import org.slf4j.LoggerFactory

/**
 * Sends the responses to heartbeats. Only a response with status 200 renews a worker's lease.
 *
 * Invariant: no lease is renewed from a view so old that tasks of a cancelled job could run for longer than `cancel_s`,
 * see [LeaseRenewalPolicy].
 */
internal class HeartbeatResponder(private val context: ControllerContext, private val workerHealth: WorkerHealth) {
    private val renewalPolicy = LeaseRenewalPolicy(context.settings.workers)
    private var cachedFencingToken: ULong? = null
    private var cachedBody = Body.EMPTY

    /** Whether the view is recent enough to renew a lease. */
    fun mayRenew(): Boolean = context.viewFreshness.isWithin(renewalPolicy.maxViewAgeNs, context.nowNs)

    /** Whether the view lags no more than in normal operation, which task launches require. */
    fun viewIsFresh(): Boolean = context.viewFreshness.isWithin(renewalPolicy.freshViewAgeNs, context.nowNs)

    /**
     * Renews the lease without making scheduling decisions. Tasks of cancelled jobs are still halted: a cancellation in
     * the view is committed and final, so halting them requires neither a lease of this process nor its term.
     */
    fun renewWithoutDecision(heartbeat: Heartbeat, fencingToken: ULong, responder: Responder) = renew(
        heartbeat,
        workerHealth.workerState(heartbeat.machineName),
        fencingToken,
        HeartbeatReconciler.cancellationHalts(heartbeat, context.view.placedTasksOn(heartbeat.machineName)),
        responder,
    )

    /**
     * Renews the lease and sends [commands]. Responds with 503 instead if the view is too old, or if the worker has
     * repeatedly ignored overdue halts of cancelled tasks: only the expiry of its lease can then stop these tasks.
     */
    fun renew(
        heartbeat: Heartbeat,
        workerState: WorkerState,
        fencingToken: ULong,
        commands: List<WorkerCommand>,
        responder: Responder,
    ) {
        if (!mayRenew()) return unavailable("the view is too old", responder)
        val overdueHalts = commands.filterIsInstance<WorkerCommand.Halt>().filter { isCancellationOverdue(it.job) }
        workerState.haltTracker = workerState.haltTracker.afterResponse(heartbeat, overdueHalts)
        if (workerState.haltTracker.haltsAreIgnored) {
            log.info(
                "event=lease_renewal_denied machine={} term={} reason=halts_ignored",
                heartbeat.machineName,
                fencingToken,
            )
            return unavailable("cancelled tasks go on", responder)
        }
        val body = if (commands.isEmpty()) bodyWithoutCommands(fencingToken) else encode(fencingToken, commands)
        responder.send(HttpStatus.OK, body, null)
    }

    /** Redirects the worker to [owner]; with null, the response names no owner. */
    fun redirect(owner: String?, responder: Responder) =
        responder.send(HttpStatus.MISDIRECTED_REQUEST, Body(Cbor.encode(mapOf("steward" to owner)), Body.CBOR), null)

    /** Redirects the worker without naming an owner, so that it tries the other controllers. */
    fun redirectWithoutOwner(responder: Responder) =
        responder.send(HttpStatus.MISDIRECTED_REQUEST, Body(Cbor.encode(emptyMap()), Body.CBOR), null)

    /** Rejects a heartbeat that could not be decoded, with [reason] as the error message. */
    fun malformed(reason: String, responder: Responder) = responder.send(HttpStatus.BAD_REQUEST, error(reason), null)

    private fun unavailable(reason: String, responder: Responder) =
        responder.send(HttpStatus.SERVICE_UNAVAILABLE, error(reason), RETRY_AFTER_S)

    private fun encode(fencingToken: ULong, commands: List<WorkerCommand>) =
        Body(Cbor.encode(HeartbeatCodec.encode(fencingToken, commands)), Body.CBOR)

    /** Returns the response without commands, which most heartbeats get. It is encoded once per term. */
    private fun bodyWithoutCommands(fencingToken: ULong): Body {
        if (fencingToken != cachedFencingToken) {
            cachedBody = encode(fencingToken, emptyList())
            cachedFencingToken = fencingToken
        }
        return cachedBody
    }

    /** Whether a job was cancelled so long ago that only the expiry of a lease can still meet the `cancel_s` limit. */
    private fun isCancellationOverdue(job: String): Boolean {
        val cancelledMs = context.view.jobs[job]?.cancelledMs ?: return false
        return context.nowMs - cancelledMs > renewalPolicy.maxViewAgeS * MILLIS_PER_SECOND
    }

    private fun error(text: String) = Body(Cbor.encode(mapOf("error" to text)), Body.CBOR)

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.workers")
        const val RETRY_AFTER_S = 1
    }
}
