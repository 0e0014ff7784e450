package flaxfield.sim

import flaxfield.controller.Command
import flaxfield.controller.Controller
import flaxfield.controller.ControllerTransports
import flaxfield.controller.SubsystemFactory
import flaxfield.drain.DrainOrder
import flaxfield.drain.DrainRecord
import flaxfield.drain.FleetConfig
import flaxfield.drain.FleetControl
import flaxfield.drain.OrderResult
import flaxfield.net.Request
import flaxfield.peers.PeerMessage
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings

/** The configuration with which each process of a simulated controller starts. */
class SimControllerSetup(
    val settings: Settings,
    val operatorSettings: OperatorSettings,
    /** Reads the fleet configuration; null if the controller runs without one. */
    val fleetConfig: () -> FleetConfig?,
    /** Creates the transports of a process, which deliver responses only while it is alive. */
    val transports: (alive: () -> Boolean) -> ControllerTransports,
)

/** One controller of a simulated cluster, whose process can be killed, restarted, paused and starved of CPU time. */
class SimController(private val loop: SimLoop, private val setup: SimControllerSetup) {
    /** The processor, on which every process of this controller runs. */
    val processor = SimProcessor(loop)

    /** The fleet control of the current process; null without a fleet configuration. */
    var fleetControl: FleetControl? = null
        private set

    /** The number of boots and kills so far, which distinguishes the current process from earlier ones. */
    private var generation = 0
    private var process: Controller? = null

    /** Work that waits while the process is paused (its clocks run on); null while it is not paused. */
    private var pausedWork: ArrayList<() -> Unit>? = null

    fun boot() {
        val bootGeneration = ++generation
        val alive = { generation == bootGeneration && process != null }
        val post: (() -> Unit) -> Unit = { block ->
            loop.after(1) {
                enqueue(WorkKind.RESPONSE) {
                    if (alive()) {
                        process?.handle(Command.Run(block))
                        process?.runDueWork()
                    }
                }
            }
        }
        val transports = setup.transports(alive)
        val subsystem = setup.fleetConfig()?.let { config ->
            SubsystemFactory { parts -> FleetControl(parts, config).also { fleetControl = it } }
        }
        val runName = "run$bootGeneration"
        val controller =
            Controller(setup.settings, setup.operatorSettings, runName, loop, transports, MAX_DIRECT_COMMANDS, subsystem, post)
        process = controller
        controller.start()
        tick(bootGeneration)
    }

    /** Kills the process; a new one starts after [downS]. */
    fun kill(downS: Double) {
        generation++
        processor.restart()
        process = null
        fleetControl = null
        loop.after((downS * SimLoop.SECOND).toLong()) { if (process == null) boot() }
    }

    /** Pauses the process for [durationS]; messages that arrive meanwhile wait. */
    fun freeze(durationS: Double) {
        if (pausedWork != null) return
        pausedWork = ArrayList()
        loop.after((durationS * SimLoop.SECOND).toLong()) {
            val delayed = pausedWork.orEmpty()
            pausedWork = null
            for (block in delayed) block()
        }
    }

    /** Returns whether the processor accepts more work of [kind]. */
    fun accepts(kind: WorkKind): Boolean = processor.accepts(kind)

    fun handle(kind: WorkKind, request: Request) = enqueue(kind) {
        process?.apply {
            handle(Command.Http(request))
            runDueWork()
        }
    }

    fun handle(message: PeerMessage, reply: (PeerMessage) -> Unit) = enqueue(WorkKind.PEER) {
        process?.handle(Command.Peer(message, reply))
    }

    /** Executes a drain order; [done] is not called if the process ends before it answers. */
    fun order(order: DrainOrder, done: (OrderResult<DrainRecord>) -> Unit) = enqueue(WorkKind.USER) {
        fleetControl?.order(order, done)
    }

    /** Runs [block] once the processor reaches it and the process is not paused; drops it if the process has ended. */
    private fun enqueue(kind: WorkKind, block: () -> Unit) {
        val currentGeneration = generation
        processor.run(kind) { whenNotPaused { if (generation == currentGeneration) block() } }
    }

    private fun whenNotPaused(block: () -> Unit) {
        pausedWork?.add(block) ?: block()
    }

    private fun tick(bootGeneration: Int) {
        if (generation != bootGeneration) return
        if (pausedWork == null) enqueue(WorkKind.EVENT_LOOP) { process?.runDueWork(queuedHeartbeats()) }
        loop.after(maxOf(Controller.TICK_MS * SimLoop.MS, processor.queueDelayNs)) { tick(bootGeneration) }
    }

    /** Estimates the number of queued heartbeats from the delay of the processor. */
    private fun queuedHeartbeats(): Int = (processor.queueDelayNs / WorkKind.HEARTBEAT.costNs).toInt()

    private companion object {
        /** The maximum number of direct commands that a controller has in flight. */
        const val MAX_DIRECT_COMMANDS = 16
    }
}
