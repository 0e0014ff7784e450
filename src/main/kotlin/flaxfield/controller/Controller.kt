package flaxfield.controller

import flaxfield.NANOS_PER_MILLI
import flaxfield.NANOS_PER_SECOND
import flaxfield.membership.Member
import flaxfield.net.Request
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings
import flaxfield.store.ClusterReplica
import flaxfield.store.StoreClient
import org.slf4j.LoggerFactory

/**
 * The loop around all state and decisions of one controller. Whoever calls [handle] and [runDueWork] is its owner: one thread
 * in a process, the event loop of a simulation in tests.
 */
class Controller(
    settings: Settings,
    operator: OperatorSettings,
    incarnation: String,
    clock: Clock,
    private val transports: ControllerTransports,
    /** Requests to workers that may be under way at once. */
    maxDirectCommands: Int,
    /** Makes what a fleet file switches on; null without one. */
    subsystem: SubsystemFactory? = null,
    post: (() -> Unit) -> Unit,
) {
    private val replica = ClusterReplica()
    private val context = ControllerContext(
        settings,
        operator,
        Member(settings.nodeName, incarnation, settings.zone),
        clock,
        StoreClient(transports.state, transports.watch, STORE_TIMEOUT_MS),
        replica.view,
        post,
    )
    private val modules = ControllerModules(context, replica, transports, maxDirectCommands, subsystem)
    private val metrics = Metrics()
    private val readiness = Readiness(settings, context.storeContact, modules.peers, modules.reflector)
    private val requests = RequestRouter(modules.heartbeats, modules.jobs, readiness, ::metricsText)
    private val peerMessages = PeerMessageRouter(modules.peers, modules.heartbeats)
    private val duties = ControllerDuties(context, modules)
    private val dutyRunner = DutyRunner(context.stats, heartbeatsNs(SLOW_DUTY_HEARTBEATS), transports.flushIfOverdue)
    private val pauses = ProcessPauseDetector(clock, settings.workers.leaseS, modules.workerHealth::onProcessPause)
    private val startupLeases = StartupLeaseWindow(context)
    private val decisionDeferral = BacklogDeferral(heartbeatsNs(MAX_DEFERRAL_HEARTBEATS))
    private val fleetDeferral = BacklogDeferral(heartbeatsNs(MAX_DEFERRAL_HEARTBEATS))
    private var nextTickNs = 0L
    private var nextDecisionNs = 0L
    private var latestDecisionNs = 0L
    private var nextLoadLineNs = 0L

    /** Begins to read the view; everything else waits for it. */
    fun start() = modules.reflector.start()

    /**
     * Decides nothing any more and ends the process's lease, so that others take over at once; [done] when the store
     * has been told.
     */
    fun leave(done: () -> Unit) = modules.membership.leave(done)

    /** Counts a request that was refused before it came to the queue; safe from any thread. */
    fun countRejected() = metrics.countRejected()

    /**
     * Whether workers' heartbeats are of use yet; safe from any thread. Before the first view no lease may be renewed
     * and no owner is known: answering hundreds of heartbeats a second in vain would delay that view.
     */
    fun acceptsHeartbeats(): Boolean = modules.reflector.hasSynced

    /** Carries out one command; no fault in it ends the process. */
    fun handle(command: Command) = FaultBarrier.run {
        pauses.check()
        when (command) {
            is Command.Run -> command.block()
            is Command.Peer -> peerMessages.route(command)
            // After a pause the queue holds requests that their senders have given up: only the others are answered.
            is Command.Http -> if (command.request.isClientWaiting()) answer(command.request)
        }
    }

    private fun answer(request: Request) {
        val startNs = System.nanoTime()
        requests.route(request)
        val elapsedNs = System.nanoTime() - startNs
        metrics.recordRequest(RequestKind.of(request.path), elapsedNs)
        context.stats.addDutyTime(if (request.path == ApiPath.HEARTBEAT) "reports" else "users", elapsedNs)
        transports.flushIfOverdue()
    }

    /** The time of [count] heartbeat intervals in nanoseconds. */
    private fun heartbeatsNs(count: Double): Long =
        (context.settings.workers.heartbeatIntervalS * count * NANOS_PER_SECOND).toLong()

    private fun metricsText(): String = metrics.text() + context.stats.text()

    /**
     * Does what is due by now: called after each batch of commands and at least every [TICK_MS]. While
     * [heartbeatsWaiting] are many, they come before decisions, since they renew leases.
     */
    fun runDueWork(heartbeatsWaiting: Int = 0) {
        pauses.check()
        val nowNs = context.nowNs
        if (nowNs >= nextTickNs) {
            nextTickNs = nowNs + TICK_MS * NANOS_PER_MILLI
            tick(heartbeatsWaiting)
        }
        val isDue = context.decisions.isDue(nowNs) && nowNs >= nextDecisionNs || nowNs >= latestDecisionNs
        if (!isDue || !decisionDeferral.mayRun(nowNs, heartbeatsWaiting)) return
        nextDecisionNs = nowNs + MIN_DECISION_INTERVAL_MS * NANOS_PER_MILLI
        latestDecisionNs = nowNs + MAX_DECISION_GAP_MS * NANOS_PER_MILLI
        decide()
    }

    private fun tick(heartbeatsWaiting: Int) {
        FaultBarrier.run { context.transactions.updateBudgetShare(context.leadership) }
        dutyRunner.runAll(duties.everyTick)
        if (fleetDeferral.mayRun(context.nowNs, heartbeatsWaiting)) dutyRunner.run(duties.fleet)
        if (context.nowNs >= nextLoadLineNs) {
            nextLoadLineNs = context.nowNs + (LOAD_LINE_S * NANOS_PER_SECOND).toLong()
            logLoad()
        }
    }

    private fun decide() {
        context.decisions.begin()
        context.transactions.releaseSettledKeys()
        FaultBarrier.run { modules.workerHealth.observeTerm() }
        if (!startupLeases.isOpen()) dutyRunner.runAll(duties.planning)
        dutyRunner.run(duties.halts)
    }

    private fun logLoad() = log.info(
        "event=load jobs={} machines={} owned_machines={} {}",
        context.view.jobs.size,
        context.view.machines.size,
        context.shards.ownedMachines().size,
        context.stats.line(),
    )

    companion object {
        private val log = LoggerFactory.getLogger("flaxfield.controller")

        /** The owner wakes at least this often. */
        const val TICK_MS = 100L

        /** Decisions are made at most this often. */
        const val MIN_DECISION_INTERVAL_MS = 60L

        /** Decisions are made at least this often, though nothing asks for them. */
        private const val MAX_DECISION_GAP_MS = 500L
        private const val STORE_TIMEOUT_MS = 1_500L

        /** Decisions wait for heartbeats this long at most, in heartbeat intervals: a worker waits for its commands. */
        private const val MAX_DEFERRAL_HEARTBEATS = 0.5

        /** A duty that takes this many heartbeat intervals is named in the log. */
        private const val SLOW_DUTY_HEARTBEATS = 0.2

        /** How often a line in the log tells what the process has done so far. */
        private const val LOAD_LINE_S = 60.0
    }
}
