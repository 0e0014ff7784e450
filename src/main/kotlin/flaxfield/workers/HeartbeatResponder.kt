package flaxfield.workers

import flaxfield.MILLIS_PER_SECOND
import flaxfield.codec.Cbor
import flaxfield.controller.ControllerContext
import flaxfield.net.Body
import flaxfield.net.HttpStatus
import flaxfield.net.Responder
import org.slf4j.LoggerFactory

/**
 * Sends the responses to heartbeats. A response with status 200 is the only thing that renews a worker's lease.
 *
 * Invariant: none is sent on a view so old that the tasks of a cancelled job could outlive `cancel_s`, see
 * [LeaseRenewalPolicy].
 */
internal class HeartbeatResponder(private val context: ControllerContext, private val workerHealth: WorkerHealth) {
    private val renewalPolicy = LeaseRenewalPolicy(context.settings.workers)
    private var cachedFencingToken: ULong? = null
    private var cachedBody = Body.EMPTY

    /** Whether the view is recent enough to renew a lease. */
    fun mayRenew(): Boolean = context.viewFreshness.within(renewalPolicy.boundNs, context.nowNs)

    /** Whether the view lags no more than in ordinary operation, as launches of tasks require. */
    fun viewIsFresh(): Boolean = context.viewFreshness.within(renewalPolicy.freshNs, context.nowNs)

    /**
     * Renews the lease without a scheduling decision. Tasks of cancelled jobs are halted all the same: a cancellation
     * in the view is committed and final, so its halts need neither this process's lease nor its term.
     */
    fun renewWithoutDecision(heartbeat: Heartbeat, fencingToken: ULong, responder: Responder) = renew(
        heartbeat,
        workerHealth.workerState(heartbeat.machineName),
        fencingToken,
        HeartbeatReconciler.cancellationHalts(heartbeat, context.view.on(heartbeat.machineName)),
        responder,
    )

    /**
     * Renews the lease and sends [commands]. Answers 503 instead if the view is too old, or if the worker goes on with
     * overdue cancelled tasks although it was told to halt them: then only the end of its lease stops them.
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
        workerState.haltTracker = workerState.haltTracker.answered(heartbeat, overdueHalts)
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

    /** Sends the worker to [owner]; null names no owner. */
    fun redirect(owner: String?, responder: Responder) =
        responder.send(HttpStatus.MISDIRECTED_REQUEST, Body(Cbor.encode(mapOf("steward" to owner)), Body.CBOR), null)

    /** Sends the worker away without naming an owner: it tries the other controllers. */
    fun redirectAnywhere(responder: Responder) =
        responder.send(HttpStatus.MISDIRECTED_REQUEST, Body(Cbor.encode(emptyMap()), Body.CBOR), null)

    /** Rejects a heartbeat that could not be decoded, for the given [reason]. */
    fun malformed(reason: String, responder: Responder) = responder.send(HttpStatus.BAD_REQUEST, error(reason), null)

    private fun unavailable(reason: String, responder: Responder) =
        responder.send(HttpStatus.SERVICE_UNAVAILABLE, error(reason), RETRY_AFTER_S)

    private fun encode(fencingToken: ULong, commands: List<WorkerCommand>) =
        Body(Cbor.encode(HeartbeatCodec.encode(fencingToken, commands)), Body.CBOR)

    /** The response without commands, which most heartbeats get: encoded once a term. */
    private fun bodyWithoutCommands(fencingToken: ULong): Body {
        if (fencingToken != cachedFencingToken) {
            cachedBody = encode(fencingToken, emptyList())
            cachedFencingToken = fencingToken
        }
        return cachedBody
    }

    /** Whether a job was cancelled so long ago that only the end of a lease can still keep `cancel_s`. */
    private fun isCancellationOverdue(job: String): Boolean {
        val cancelledMs = context.view.jobs[job]?.cancelledMs ?: return false
        return context.nowMs - cancelledMs > renewalPolicy.boundS * MILLIS_PER_SECOND
    }

    private fun error(text: String) = Body(Cbor.encode(mapOf("error" to text)), Body.CBOR)

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.workers")
        const val RETRY_AFTER_S = 1
    }
}
