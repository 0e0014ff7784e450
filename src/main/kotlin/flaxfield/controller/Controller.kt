package flaxfield.controller

import flaxfield.NANOS_PER_MILLI
import flaxfield.NANOS_PER_SECOND
import flaxfield.arrays.ArrayScheduler
import flaxfield.codec.Cbor
import flaxfield.fleet.CloudClient
import flaxfield.fleet.FleetReconciler
import flaxfield.gangs.GangScheduler
import flaxfield.jobs.JobRequestHandler
import flaxfield.jobs.StallMonitor
import flaxfield.jobs.TaskEventCommitter
import flaxfield.members.Member
import flaxfield.members.MembershipManager
import flaxfield.net.Body
import flaxfield.net.HttpTransport
import flaxfield.net.Request
import flaxfield.net.Responder
import flaxfield.peers.PeerConnection
import flaxfield.peers.PeerGateway
import flaxfield.peers.PeerMessage
import flaxfield.settings.Address
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings
import flaxfield.store.ClusterView
import flaxfield.store.StoreClient
import flaxfield.workers.DirectCommandSender
import flaxfield.workers.HaltDispatcher
import flaxfield.workers.HeartbeatHandler
import flaxfield.workers.WorkerHealth
import flaxfield.zones.ZoneReconciler
import flaxfield.zones.ZoneRecovery
import org.slf4j.LoggerFactory

/** The ways out of one controller; the simulation of the tests gives its own. */
class ControllerTransports(
    val state: HttpTransport,
    val watch: HttpTransport,
    val cloud: HttpTransport,
    val worker: (Address) -> HttpTransport,
    val peer: (Address, (PeerMessage) -> Unit) -> PeerConnection,
    /** Sends on its way what has waited for long to be sent. */
    val flushLate: () -> Unit = {},
)

/** What the owner thread takes from its queue. */
sealed interface Command {
    class Http(val request: Request) : Command

    class Peer(val message: PeerMessage, val answer: (PeerMessage) -> Unit) : Command

    class Run(val block: () -> Unit) : Command
}

/**
 * All state and all decisions of one controller. Whoever calls [handle] and [turn] is its owner: one thread
 * in a process, the event loop of a simulation in tests.
 */
class Controller(
    private val settings: Settings,
    operator: OperatorSettings,
    incarnation: String,
    clock: Clock,
    private val transports: ControllerTransports,
    /** Requests to workers that may be under way at once. */
    mostDirect: Int,
    /** What a fleet file switches on; null without one. */
    subsystem: SubsystemFactory? = null,
    post: (() -> Unit) -> Unit,
) {
    private val context = ControllerContext(
        settings,
        operator,
        Member(settings.nodeName, incarnation, settings.zone),
        clock,
        StoreClient(transports.state, transports.watch, STORE_TIMEOUT_MS),
        ClusterView(),
        post,
    )
    private val zones = if (operator.zoneRecovery || subsystem != null) watchZones() else null
    private val metrics = Metrics()
    private val peers = PeerGateway(context, transports.peer)
    private val taskEvents = TaskEventCommitter(context)
    private val workerHealth = WorkerHealth(context)
    private val stops =
        HaltDispatcher(context, workerHealth, DirectCommandSender(DIRECT_TIMEOUT_MS, mostDirect, transports.worker))
    private val workers = HeartbeatHandler(context, taskEvents, peers, workerHealth, stops)
    private val members = MembershipManager(context)
    private val gangs = GangScheduler(context)
    private val arrays = ArrayScheduler(context, workerHealth, stops)
    private val jobs = JobRequestHandler(context, arrays::begin)
    private val fleet = FleetReconciler(context, CloudClient(transports.cloud, CLOUD_TIMEOUT_MS), taskEvents)
    private val stalls = StallMonitor(context, taskEvents)
    private val follower = StoreReflector(context, jobs, workerHealth)
    private val subsystem = subsystem?.create(SubsystemParts(context, workerHealth))?.also { context.subsystem = it }

    private val decisions =
        BacklogDeferral((settings.workers.heartbeatIntervalS * DEFER_HEARTBEATS * NANOS_PER_SECOND).toLong())
    private val fleetPlans =
        BacklogDeferral((settings.workers.heartbeatIntervalS * DEFER_HEARTBEATS * NANOS_PER_SECOND).toLong())
    private val slowDutyNs = (settings.workers.heartbeatIntervalS * SLOW_DUTY_HEARTBEATS * NANOS_PER_SECOND).toLong()
    private var lastNs = 0L
    private var leasesFirstUntilNs: Long? = null
    private var nextTickNs = 0L
    private var nextDecideNs = 0L
    private var decideAnywayNs = 0L
    private var nextLoadNs = 0L

    private fun watchZones(): ZoneReconciler {
        context.zones = ZoneRecovery(context)
        return ZoneReconciler(context)
    }

    fun start() = follower.start()

    /**
     * Decides nothing any more and ends the process's lease, so that others take over at once; [done] when that is
     * told.
     */
    fun leave(done: () -> Unit) = members.leave(done)

    fun refused() = metrics.refused()

    /**
     * Whether workers' reports are of use yet; safe from any thread. Before the first view no lease may be renewed and
     * no owner is known: after a restart hundreds of reports a second, read and answered in vain, put that view off.
     */
    fun acceptsHeartbeats(): Boolean = follower.hasSynced

    /** Carries out one command; no fault in it ends the process. */
    fun handle(c: Command) = safely {
        detectProcessPause()
        when (c) {
            is Command.Run -> c.block()
            is Command.Peer -> peer(c)
            // After a standstill the queue holds what its senders have given up: the present comes first.
            is Command.Http -> if (c.request.waits()) {
                val startNs = System.nanoTime()
                route(c.request)
                val ns = System.nanoTime() - startNs
                metrics.handled(requestKind(c.request.path), ns)
                context.stats.spent(if (c.request.path == "/hello") "reports" else "users", ns)
                transports.flushLate()
            }
        }
    }

    /**
     * What is due by now: called after each batch of commands and at least every [TICK_MS]. While [heartbeatsWaiting]
     * are many, leases come before decisions.
     */
    fun turn(heartbeatsWaiting: Int = 0) {
        detectProcessPause()
        val now = context.nowNs
        if (now >= nextTickNs) {
            nextTickNs = now + TICK_MS * NANOS_PER_MILLI
            tick(heartbeatsWaiting)
        }
        if (context.decisions.isDue(now) && now >= nextDecideNs || now >= decideAnywayNs) {
            if (!decisions.mayRun(now, heartbeatsWaiting)) return
            nextDecideNs = now + DECIDE_GAP_MS * NANOS_PER_MILLI
            decideAnywayNs = now + DECIDE_ANYWAY_MS * NANOS_PER_MILLI
            decide()
        }
    }

    /**
     * The owner wakes every [TICK_MS]: a much longer gap is our own standstill. What was not heard meanwhile says
     * nothing of workers: their silence is counted without it.
     */
    private fun detectProcessPause() {
        val now = context.nowNs
        val gap = now - lastNs
        val first = lastNs == 0L
        lastNs = now
        if (first || gap < settings.workers.leaseS * STANDSTILL_SHARE * NANOS_PER_SECOND) return
        log.info("stood still for {} ms: silence is counted without it", gap / NANOS_PER_MILLI)
        workerHealth.onProcessPause(gap)
    }

    private fun route(r: Request) {
        val path = r.path
        when {
            path == "/hello" -> on(r, "POST") { workers.heartbeat(r.body, r.responder) }
            path == "/work" -> on(r, "POST") { jobs.submit(r.body, r.responder) }
            path.startsWith("/work/") && path.endsWith("/cancel") ->
                on(r, "POST") { jobs.cancel(path.removePrefix("/work/").removeSuffix("/cancel"), r.responder) }
            path.startsWith("/work/") -> on(r, "GET") { jobs.status(path.removePrefix("/work/"), r.responder) }
            path == "/ready" -> on(r, "GET") { r.responder.send(if (ready()) 200 else 503, Body.EMPTY, null) }
            path == "/metrics" -> on(r, "GET") {
                r.responder.send(200, Body((metrics.text() + context.stats.text()).toByteArray(), "text/plain"), null)
            }
            else -> r.responder.send(404, Body(Cbor.encode(mapOf("error" to "no such path")), Body.CBOR), null)
        }
    }

    private fun on(r: Request, method: String, block: () -> Unit) {
        if (r.method == method) return block()
        r.responder.send(405, Body(Cbor.encode(mapOf("error" to "only $method here")), Body.CBOR), null)
    }

    /** In an outage for all we stay ready and answer 503; if only we are refused, users are better off elsewhere. */
    private fun ready(): Boolean {
        if (!follower.hasSynced) return false
        val away = context.storeContact.silenceNs() > settings.workers.leaseS * AWAY_SHARE * NANOS_PER_SECOND
        // Peers that are silent as well tell that we are cut off, not that all are.
        return !away || !peers.storeReachableElsewhere() && (settings.peers.isEmpty() || peers.hasRecentPeer())
    }

    private fun peer(c: Command.Peer) {
        when (val m = c.message) {
            is PeerMessage.PeerHeartbeat -> peers.receiveHeartbeat(m)
            is PeerMessage.ForwardedHeartbeat -> workers.relayed(
                m.heartbeat,
                Responder { status, body, _ ->
                    c.answer(PeerMessage.ForwardedResponse(m.id, status, body.bytes))
                },
            )
            is PeerMessage.ForwardedResponse -> Unit
        }
    }

    private fun tick(heartbeatsWaiting: Int) {
        safely { context.transactions.updateBudgetShare(context.leadership) }
        duty("members") { members.tick() }
        duty("follower") { follower.tick() }
        duty("workers") { stops.tick() }
        duty("jobs") { jobs.tick() }
        duty("peers") { peers.tick() }
        duty("stalls") { stalls.tick() }
        subsystem?.let { duty("subsystem") { it.tick() } }
        zones?.let { duty("zones") { it.tick() } }
        if (fleetPlans.mayRun(context.nowNs, heartbeatsWaiting)) duty("fleet") { fleet.run() }
        if (context.nowNs >= nextLoadNs) {
            nextLoadNs = context.nowNs + (LOAD_LINE_S * NANOS_PER_SECOND).toLong()
            val w = context.view
            log.info(
                "load jobs={} machines={} own={} {}",
                w.jobs.size,
                w.machines.size,
                context.shards.ownedMachines().size,
                context.stats.line(),
            )
        }
    }

    private fun decide() {
        context.decisions.begin()
        context.transactions.releaseSettledKeys()
        safely { workerHealth.observeTerm() }
        if (!leasesFirst()) plan()
        duty("halts") { stops.haltNow() }
    }

    private fun plan() {
        duty("reserved") { context.scheduling.refresh() }
        duty("settlement") { taskEvents.run() }
        duty("gangs") { gangs.run() }
        duty("arrays") { arrays.run() }
    }

    /**
     * Whether this process has only just become a member, beside machines that were at work before it started: their
     * leases and halts come before all planning, which is slow in code that runs for the first time.
     */
    private fun leasesFirst(): Boolean {
        if (context.leadership.term() == null) return false
        val until = leasesFirstUntilNs ?: leasesFirstUntil().also { leasesFirstUntilNs = it }
        return context.nowNs < until
    }

    private fun leasesFirstUntil(): Long {
        if (context.view.machines.isEmpty()) return context.nowNs
        return context.nowNs + (settings.workers.leaseS * LEASES_FIRST_SHARE * NANOS_PER_SECOND).toLong()
    }

    private inline fun duty(name: String, block: () -> Unit) {
        val startNs = System.nanoTime()
        safely(block)
        val ns = System.nanoTime() - startNs
        context.stats.spent(name, ns)
        if (ns >
            slowDutyNs
        ) {
            log.info("duty={} took {} ms: the process lacks processor time", name, ns / NANOS_PER_MILLI)
        }
        transports.flushLate()
    }

    /** No fault in one command ends the process. */
    private inline fun safely(block: () -> Unit) {
        try {
            block()
        } catch (e: Exception) {
            log.error("internal fault", e)
        }
    }

    companion object {
        private val log = LoggerFactory.getLogger("flaxfield.controller")

        /** The owner wakes at least this often. */
        const val TICK_MS = 100L

        /** Decisions are made at most this often. */
        const val DECIDE_GAP_MS = 60L
        private const val DECIDE_ANYWAY_MS = 500L
        private const val STORE_TIMEOUT_MS = 1_500L
        private const val CLOUD_TIMEOUT_MS = 4_000L
        private const val DIRECT_TIMEOUT_MS = 2_000L
        private const val AWAY_SHARE = 0.25

        /**
         * A gap between turns of this share of a worker's lease is a standstill; a busy process's turns are far
         * shorter.
         */
        private const val STANDSTILL_SHARE = 0.1

        /**
         * Decisions wait for reports this long at most, in report intervals: a worker waits no longer for its orders.
         */
        private const val DEFER_HEARTBEATS = 0.5

        /** Planning of a process that has just started waits this share of a worker's lease. */
        private const val LEASES_FIRST_SHARE = 0.15

        /**
         * A duty that takes this many report intervals delays answers that workers wait for, and is named in the log.
         */
        private const val SLOW_DUTY_HEARTBEATS = 0.2

        /** How often a line in the log tells what the process has done so far. */
        private const val LOAD_LINE_S = 60.0
    }
}
