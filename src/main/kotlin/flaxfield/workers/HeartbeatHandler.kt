package flaxfield.workers

import flaxfield.MILLIS_PER_SECOND
import flaxfield.NANOS_PER_SECOND
import flaxfield.codec.Cbor
import flaxfield.codec.MalformedException
import flaxfield.controller.ControllerContext
import flaxfield.fleet.FleetCodec
import flaxfield.fleet.Machine
import flaxfield.fleet.MachinePhase
import flaxfield.jobs.TaskEventCommitter
import flaxfield.net.Body
import flaxfield.net.Responder
import flaxfield.peers.PeerGateway
import flaxfield.store.Change
import flaxfield.store.StoreKeys
import flaxfield.store.Transaction
import flaxfield.store.WriteCause
import org.slf4j.LoggerFactory

/** Workers' reports and their orders. */
class HeartbeatHandler(
    private val context: ControllerContext,
    private val taskEvents: TaskEventCommitter,
    private val peers: PeerGateway,
    private val workerHealth: WorkerHealth,
    private val stops: HaltDispatcher,
) {
    private val renewal = LeaseRenewalPolicy(context.settings.workers)

    fun heartbeat(body: ByteArray, responder: Responder) {
        val heartbeat = try {
            HeartbeatCodec.decode(body)
        } catch (e: MalformedException) {
            return responder.send(400, error(e.message ?: "malformed"), null)
        }
        val assignment = context.view.assignment
        val term = context.leadership.term()
        val workerState = workerHealth.workerState(heartbeat.machineName)
        when {
            assignment == null || heartbeat.fencingToken > assignment.term || term == null -> withoutTerm(
                heartbeat,
                responder,
            )
            context.shards.owns(heartbeat.machineName, heartbeat.zone) -> own(heartbeat, workerState, term, responder)
            else -> notOurs(heartbeat, workerState, body, term, responder)
        }
    }

    /**
     * A worker of another's part. Who knows our term has had its owner and comes since that does not answer it:
     * sent back at first, it waited 4 s twice, and its lease was over. Its reports are handed on, and it is sent
     * to its owner again only now and then.
     *
     * Who does not know our term yet gets it here, with its lease renewed, and is sent on when it next reports, at
     * once: after a restart of all nodes, leases ran out on the way from node to node. Its owner then hears it under
     * the present epoch from the first report on.
     */
    private fun notOurs(
        heartbeat: Heartbeat,
        workerState: WorkerState,
        body: ByteArray,
        term: ULong,
        responder: Responder,
    ) {
        if (heartbeat.fencingToken < term && mayRenew()) {
            workerState.greetedTerm = term
            return keepAlive(heartbeat, term, responder)
        }
        if (context.zones != null && heartbeat.fencingToken == term) workerHealth.passed(heartbeat, workerState)
        val owner = context.shards.owner(heartbeat.machineName, heartbeat.zone)
        val now = context.nowNs
        val lease = context.settings.workers.leaseS * NANOS_PER_SECOND
        val back = workerState.redirectedNs != 0L && now - workerState.redirectedNs < lease * RELAY_SHARE
        val lost =
            heartbeat.fencingToken == term &&
                workerState.greetedTerm != term &&
                (workerState.relayedNs == 0L || now - workerState.relayedNs < lease * RELAY_LEASES)
        if (!back && !lost) {
            workerState.redirectedNs = now
            workerState.relayedNs = 0L
            workerState.greetedTerm = null
            return redirect(owner, responder)
        }
        if (workerState.relayedNs == 0L) workerState.relayedNs = now
        peers.forwardHeartbeat(owner, body) { status, answer ->
            if (answer !=
                null
            ) {
                responder.send(status, Body(answer, Body.CBOR), null)
            } else {
                keepAlive(heartbeat, term, responder)
            }
        }
    }

    /** A report handed on by a peer that could not send its worker to us: never redirected a second time. */
    fun relayed(body: ByteArray, responder: Responder) {
        val heartbeat = try {
            HeartbeatCodec.decode(body)
        } catch (e: MalformedException) {
            return responder.send(400, error("malformed"), null)
        }
        val term = context.leadership.term()
        if (term == null ||
            heartbeat.fencingToken > term ||
            !context.shards.owns(heartbeat.machineName, heartbeat.zone)
        ) {
            return
        }
        own(heartbeat, workerHealth.workerState(heartbeat.machineName), term, responder)
    }

    /**
     * No member (yet), or behind the worker's epoch. While the state service does not answer us, we can't
     * tell an outage from being refused alone: the worker's own epoch keeps its lease, as long as [LeaseRenewalPolicy]
     * allows. So it does while nobody leads: after a restart of all nodes there is no owner to send the worker to, and
     * the seconds from the first view to the first term were what its lease lacked.
     */
    private fun withoutTerm(heartbeat: Heartbeat, responder: Responder) {
        val behind = context.view.assignment?.let { heartbeat.fencingToken > it.term } ?: false
        if (!behind &&
            (stateAway() || nobodyLeads()) &&
            mayRenew()
        ) {
            return keepAlive(heartbeat, heartbeat.fencingToken, responder)
        }
        val owner = context.shards.owner(heartbeat.machineName, heartbeat.zone)
        if (owner != null &&
            owner != context.self.name
        ) {
            redirect(owner, responder)
        } else {
            responder.send(421, Body(Cbor.encode(emptyMap()), Body.CBOR), null)
        }
    }

    /** Whether there has been an assignment whose leader is gone, and none since. */
    private fun nobodyLeads(): Boolean {
        val assignment = context.view.assignment ?: return false
        return !assignment.leader.isSameProcess(context.view.leader)
    }

    private fun stateAway() =
        context.storeContact.silenceNs() > context.settings.workers.leaseS * AWAY_SHARE * NANOS_PER_SECOND

    /**
     * Answers without a decision. What is cancelled is halted all the same: a cancellation in the view is committed and
     * stays, so its halts need neither a lease nor a term of ours.
     */
    private fun keepAlive(heartbeat: Heartbeat, fencingToken: ULong, responder: Responder) = renew(
        heartbeat,
        workerHealth.workerState(heartbeat.machineName),
        fencingToken,
        HeartbeatReconciler.cancelled(heartbeat, context.view.on(heartbeat.machineName)),
        responder,
    )

    private fun mayRenew() = context.viewFreshness.within(renewal.boundNs, context.nowNs)

    /**
     * The only answer that renews a worker's lease. Not sent on a view so old that a cancellation unknown here could
     * outlive `cancel_s`: the state service refused one controller, another confirmed cancellations, then it was out
     * for all, and the first kept the tasks alive beyond it.
     */
    private fun renew(
        heartbeat: Heartbeat,
        workerState: WorkerState,
        fencingToken: ULong,
        commands: List<WorkerCommand>,
        responder: Responder,
    ) {
        if (!mayRenew()) return responder.send(503, error("the view is too old"), RETRY_S)
        workerState.halting =
            workerState.halting.answered(
                heartbeat,
                commands.filterIsInstance<WorkerCommand.Halt>().filter {
                    overdue(it.job)
                },
            )
        if (workerState.halting.helpless) {
            log.info(
                "machine={} term={} shows cancelled tasks that halts did not end: its lease is not renewed",
                heartbeat.machineName,
                fencingToken,
            )
            return responder.send(503, error("cancelled tasks go on"), RETRY_S)
        }
        responder.send(
            200,
            if (commands.isEmpty()) {
                plain(
                    fencingToken,
                )
            } else {
                Body(Cbor.encode(HeartbeatCodec.encode(fencingToken, commands)), Body.CBOR)
            },
            null,
        )
    }

    private var plainEpoch: ULong? = null
    private var plainBody = Body.EMPTY

    /** The answer without orders, which most reports get: encoded once a term. */
    private fun plain(fencingToken: ULong): Body {
        if (fencingToken != plainEpoch) {
            plainBody = Body(Cbor.encode(HeartbeatCodec.encode(fencingToken, emptyList())), Body.CBOR)
            plainEpoch = fencingToken
        }
        return plainBody
    }

    /** Whether a job was cancelled so long ago that only the end of a lease can still keep the promise. */
    private fun overdue(id: String): Boolean =
        context.view.jobs[id]?.cancelledMs?.let { context.nowMs - it > renewal.boundS * MILLIS_PER_SECOND } ?: false

    private fun redirect(owner: String?, responder: Responder) =
        responder.send(421, Body(Cbor.encode(mapOf("steward" to owner)), Body.CBOR), null)

    private fun own(heartbeat: Heartbeat, workerState: WorkerState, term: ULong, responder: Responder) {
        // Our lease may be over while others already act under a newer term: no decisions, and not for ever.
        if (!context.leadership.leaseValid()) return keepAlive(heartbeat, term, responder)
        val last = workerState.heartbeat
        if (last != null &&
            !heartbeat.newerThan(last.incarnation, last.sequenceNumber)
        ) {
            return keepAlive(heartbeat, term, responder)
        }
        workerState.reachability =
            workerState.reachability.reported(
                heartbeat,
                term,
                context.nowNs,
                context.settings.workers.leaseS * NANOS_PER_SECOND,
            )
        if (workerState.reachability.deaf) workerHealth.deaf(workerState)
        if (last == null) workerState.firstNs = context.nowNs
        workerState.heartbeat = heartbeat
        // Under an older epoch it may be a late copy of what the machine said long ago: no sign of life. Our
        // answer brings the worker the epoch, and it reports again at once.
        if (heartbeat.fencingToken == term) workerHealth.alive(workerState, heartbeat.zone)
        if (last == null ||
            last.incarnation != heartbeat.incarnation ||
            last.terminationNoticeS == null != (heartbeat.terminationNoticeS == null)
        ) {
            log.info(
                "machine={} incarnation={} termination_notice_s={} reports to us, term={}",
                heartbeat.machineName,
                heartbeat.incarnation,
                heartbeat.terminationNoticeS,
                term,
            )
            context.decisions.request()
        }
        val machine = context.view.machines[heartbeat.machineName]
        if (machine == null) {
            // A late copy may come from a machine that is long gone: only who knows our term is taken in.
            if (heartbeat.fencingToken == term) adopt(heartbeat)
            return keepAlive(heartbeat, term, responder)
        }
        learn(heartbeat, workerState)
        if (log.isDebugEnabled) changes(last, heartbeat)
        if (heartbeat.terminationNoticeS != null) stops.drain(heartbeat, term)
        val records = context.view.on(heartbeat.machineName)
        // What another node has just cancelled must not start here: launches need a view that moves on.
        val mayLaunch =
            machine.phase != MachinePhase.RETIRING && context.viewFreshness.within(renewal.freshNs, context.nowNs)
        val decision = HeartbeatReconciler.decide(heartbeat, records, term, mayLaunch)
        for (e in decision.events) {
            workerHealth.blame(e, workerState)
            taskEvents.add(e)
        }
        workerState.reachability = workerState.reachability.answered(heartbeat, term, decision.commands, context.nowNs)
        if (log.isDebugEnabled) {
            for (o in decision.commands) {
                log.debug(
                    "machine={} term={} order={}",
                    heartbeat.machineName,
                    term,
                    o,
                )
            }
        }
        renew(heartbeat, workerState, term, decision.commands, responder)
    }

    /** A machine that we do not know is taken in: a rental may be executed after we gave up on its answer. */
    private fun adopt(heartbeat: Heartbeat) {
        val key = StoreKeys.MACHINE + heartbeat.machineName
        if (workerHealth.isGone(heartbeat.machineName) || context.transactions.isWritePending(key)) return
        val machine = Machine(
            heartbeat.machineName,
            heartbeat.machineType,
            heartbeat.zone,
            heartbeat.preemptible,
            MachinePhase.UP,
            context.nowMs,
            null,
            0uL,
        )
        val conditions = TaskEventCommitter.fence(context) + (key to 0uL)
        context.transactions.submit(
            WriteCause.FLEET,
            Transaction(conditions, listOf(Change.Put(key, FleetCodec.encode(machine)))),
        )
        log.info("machine={} unknown, adopted", heartbeat.machineName)
    }

    private fun learn(heartbeat: Heartbeat, workerState: WorkerState) {
        val cache = context.view.machineTypes[heartbeat.machineType]?.cacheGb ?: return
        for (t in heartbeat.tasks) {
            if (t.state == TaskState.PULLING || t.state == TaskState.ENDED && t.cause != EndCause.DONE) continue
            val spec = context.view.jobs[t.job]?.spec ?: continue
            val new = spec.image !in workerState.images
            workerState.hasImage(spec.image, spec.imageGb, cache)
            if (new) context.decisions.request()
        }
    }

    private fun changes(last: Heartbeat?, now: Heartbeat) {
        for (t in now.tasks) {
            val before = last?.tasks?.firstOrNull { it.job == t.job && it.index == t.index && it.attempt == t.attempt }
            if (before?.state !=
                t.state
            ) {
                log.debug(
                    "job={} task={} attempt={} machine={} state={} cause={}",
                    t.job,
                    t.index,
                    t.attempt,
                    now.machineName,
                    t.state,
                    t.cause,
                )
            }
        }
    }

    private fun error(text: String) = Body(Cbor.encode(mapOf("error" to text)), Body.CBOR)

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.workers")
        const val RETRY_S = 1

        /** A worker that comes back within this share of its lease after being sent to its owner is relayed. */
        const val RELAY_SHARE = 0.75

        /** A worker that lost its owner is handed on for so many leases before it is sent there again. */
        const val RELAY_LEASES = 2.0

        /** The state service seems away after this share of a worker's lease without an answer. */
        const val AWAY_SHARE = 0.25
    }
}
