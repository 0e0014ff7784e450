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
 * The event loop of one controller, which owns all of its state and makes all of its decisions. [handle] and
 * [runDueWork] are called by a single owner: the owner thread of a process, or the event loop of a simulation in tests.
 */
class Controller(
    settings: Settings,
    operator: OperatorSettings,
    incarnation: String,
    clock: Clock,
    private val transports: ControllerTransports,
    /** The largest number of concurrent requests to workers. */
    maxDirectCommands: Int,
    /** Creates the subsystem that a fleet file enables; null without a fleet file. */
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
    private val dutyRunner =
        DutyRunner(context.stats, heartbeatIntervalsNs(SLOW_DUTY_HEARTBEATS), transports.flushIfOverdue)
    private val pauseDetector =
        ProcessPauseDetector(clock, settings.workers.leaseS, modules.workerHealth::onProcessPause)
    private val startupLeaseWindow = StartupLeaseWindow(context)
    private val decisionDeferral = BacklogDeferral(heartbeatIntervalsNs(MAX_DEFERRAL_HEARTBEATS))
    private val fleetDeferral = BacklogDeferral(heartbeatIntervalsNs(MAX_DEFERRAL_HEARTBEATS))
    private var nextTickNs = 0L
    private var earliestDecisionNs = 0L
    private var decisionDeadlineNs = 0L
    private var nextLoadLogNs = 0L

    /** Starts the initial list of the store, on which everything else depends. */
    fun start() = modules.reflector.start()

    /**
     * Stops making decisions and revokes this process's lease, so that other controllers take over at once. Calls
     * [done] when the revocation has been answered or has timed out.
     */
    fun leave(done: () -> Unit) = modules.membership.leave(done)

    /** Counts a request that was rejected before it was queued. Safe to call from any thread. */
    fun countRejected() = metrics.countRejected()

    /**
     * Whether workers' heartbeats can be answered yet. Before the first complete view, no lease may be renewed and no
     * owner is known; handling hundreds of heartbeats a second would only delay that view. Safe to call from any
     * thread.
     */
    fun acceptsHeartbeats(): Boolean = modules.reflector.hasSynced

    /** Executes one command. An exception in it is logged and does not end the process. */
    fun handle(command: Command) = FaultBarrier.run {
        pauseDetector.check()
        when (command) {
            is Command.Run -> command.block()
            is Command.Peer -> peerMessages.route(command)
            // After a process pause, the queue holds requests whose clients have timed out: these are skipped.
            is Command.Http -> if (command.request.isClientWaiting()) handleHttp(command.request)
        }
    }

    private fun handleHttp(request: Request) {
        val startNs = System.nanoTime()
        requests.route(request)
        val elapsedNs = System.nanoTime() - startNs
        metrics.recordRequest(RequestKind.of(request.path), elapsedNs)
        context.stats.addDutyTime(if (request.path == ApiPath.HEARTBEAT) "reports" else "users", elapsedNs)
        transports.flushIfOverdue()
    }

    /** The length of [count] heartbeat intervals in nanoseconds. */
    private fun heartbeatIntervalsNs(count: Double): Long =
        (context.settings.workers.heartbeatIntervalS * count * NANOS_PER_SECOND).toLong()

    private fun metricsText(): String = metrics.text() + context.stats.text()

    /**
     * Runs the ticks and decisions that are due; called after each batch of commands and at least every [TICK_MS].
     * Decisions are deferred while many heartbeats are queued ([heartbeatsWaiting]), since heartbeats renew leases.
     */
    fun runDueWork(heartbeatsWaiting: Int = 0) {
        pauseDetector.check()
        val nowNs = context.nowNs
        if (nowNs >= nextTickNs) {
            nextTickNs = nowNs + TICK_MS * NANOS_PER_MILLI
            tick(heartbeatsWaiting)
        }
        val isDue = context.decisions.isDue(nowNs) && nowNs >= earliestDecisionNs || nowNs >= decisionDeadlineNs
        if (!isDue || !decisionDeferral.mayRun(nowNs, heartbeatsWaiting)) return
        earliestDecisionNs = nowNs + MIN_DECISION_INTERVAL_MS * NANOS_PER_MILLI
        decisionDeadlineNs = nowNs + MAX_DECISION_INTERVAL_MS * NANOS_PER_MILLI
        decide()
    }

    private fun tick(heartbeatsWaiting: Int) {
        FaultBarrier.run { context.transactions.updateBudgetShare(context.leadership) }
        dutyRunner.runAll(duties.everyTick)
        if (fleetDeferral.mayRun(context.nowNs, heartbeatsWaiting)) dutyRunner.run(duties.fleet)
        if (context.nowNs >= nextLoadLogNs) {
            nextLoadLogNs = context.nowNs + (LOAD_LOG_INTERVAL_S * NANOS_PER_SECOND).toLong()
            logLoad()
        }
    }

    private fun decide() {
        context.decisions.beginRound()
        context.transactions.releaseSettledKeys()
        FaultBarrier.run { modules.workerHealth.observeTerm() }
        if (!startupLeaseWindow.isOpen()) dutyRunner.runAll(duties.planning)
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

        /** The longest interval between two calls of [runDueWork]. */
        const val TICK_MS = 100L

        /** The shortest interval between two rounds of decisions. */
        const val MIN_DECISION_INTERVAL_MS = 60L

        /** The longest interval between two rounds of decisions, even if none was requested. */
        private const val MAX_DECISION_INTERVAL_MS = 500L
        private const val STORE_TIMEOUT_MS = 1_500L

        /** The longest deferral in heartbeat intervals, since workers wait for the commands that decisions produce. */
        private const val MAX_DEFERRAL_HEARTBEATS = 0.5

        /** A duty that takes longer than this many heartbeat intervals is logged. */
        private const val SLOW_DUTY_HEARTBEATS = 0.2

        /** The interval at which the cumulative load counters are logged. */
        private const val LOAD_LOG_INTERVAL_S = 60.0
    }
}
