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

/** How a simulated controller is set up each time its process starts. */
class SimControllerSetup(
    val settings: Settings,
    val operatorSettings: OperatorSettings,
    /** What the fleet file says; null where the controller runs without one. */
    val fleetConfig: () -> FleetConfig?,
    /** The transports of a process, which deliver answers only as long as it is alive. */
    val transports: (alive: () -> Boolean) -> ControllerTransports,
)

/** One controller of a simulated cluster: its process, which can be killed, frozen and slowed down, and its boots. */
class SimController(private val loop: SimLoop, private val setup: SimControllerSetup) {
    /** What its share of a core gives. */
    val processor = SimProcessor(loop)

    /** What the fleet file has switched on in the present process; null without. */
    var fleetControl: FleetControl? = null
        private set
    private var run = 0
    private var process: Controller? = null

    /** What waits while the process stands still, though its clocks run on; null while it does not. */
    private var frozen: ArrayList<() -> Unit>? = null

    fun boot() {
        val bootedRun = ++run
        val alive = { run == bootedRun && process != null }
        val post: (() -> Unit) -> Unit = { block ->
            loop.after(1) {
                work(Work.FOLLOW_UP) {
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
        val runName = "run$bootedRun"
        val controller =
            Controller(setup.settings, setup.operatorSettings, runName, loop, transports, MAX_DIRECT, subsystem, post)
        process = controller
        controller.start()
        tick(bootedRun)
    }

    /** Ends the process; another one starts after [downS]. */
    fun kill(downS: Double) {
        run++
        processor.restart()
        process = null
        fleetControl = null
        loop.after((downS * SimLoop.SECOND).toLong()) { if (process == null) boot() }
    }

    /** Lets the process stand still for [durationS]: what reaches it waits. */
    fun freeze(durationS: Double) {
        if (frozen != null) return
        frozen = ArrayList()
        loop.after((durationS * SimLoop.SECOND).toLong()) {
            val late = frozen.orEmpty()
            frozen = null
            for (block in late) block()
        }
    }

    /** Whether it takes a request that costs as much as [kind] does now. */
    fun takes(kind: Work): Boolean = processor.takes(kind)

    fun handle(kind: Work, request: Request) = work(kind) {
        process?.apply {
            handle(Command.Http(request))
            runDueWork()
        }
    }

    fun handle(message: PeerMessage, reply: (PeerMessage) -> Unit) = work(Work.PEER) {
        process?.handle(Command.Peer(message, reply))
    }

    /** An operator's order; [done] gets nothing if the process ends meanwhile. */
    fun order(order: DrainOrder, done: (OrderResult<DrainRecord>) -> Unit) = work(Work.USER) {
        fleetControl?.order(order, done)
    }

    /** Runs [block] when the processor has come to it and the process does not stand still, if it is still the same. */
    private fun work(kind: Work, block: () -> Unit) {
        val currentRun = run
        processor.run(kind) { whenAwake { if (run == currentRun) block() } }
    }

    private fun whenAwake(block: () -> Unit) {
        frozen?.add(block) ?: block()
    }

    private fun tick(bootedRun: Int) {
        if (run != bootedRun) return
        if (frozen == null) work(Work.TURN) { process?.runDueWork(waitingHeartbeats()) }
        loop.after(maxOf(Controller.TICK_MS * SimLoop.MS, processor.behindNs)) { tick(bootedRun) }
    }

    /** How many heartbeats wait while it is behind, as its queue would tell. */
    private fun waitingHeartbeats(): Int = (processor.behindNs / Work.HEARTBEAT.costNs).toInt()

    private companion object {
        /** How many direct commands a controller has under way at a time. */
        const val MAX_DIRECT = 16
    }
}
