package flaxfield.sim

import flaxfield.codec.Cbor
import flaxfield.codec.FieldMap
import flaxfield.jobs.Resources
import flaxfield.net.Response

/** Intervals and timeouts of the simulated workers, as defined in PROTOCOL-flaxfield.md. */
class SimWorkerTimes(val heartbeatIntervalS: Double, val leaseS: Double, val gangWaitS: Double)

/** Sends a worker's heartbeats. */
fun interface HeartbeatSender {
    /** Sends [heartbeat] to [controller]; [done] gets the response, or null if it times out. */
    fun send(controller: String, heartbeat: ByteArray, done: (Response?) -> Unit)
}

/** A healthy machine and the free resources of its worker. */
class HealthyMachine(val machine: SimMachine, val free: Resources)

/**
 * Simulates a worker: renews its lease with heartbeats to one controller at a time, checks fencing tokens and executes
 * commands. When the lease expires, the worker terminates all tasks and starts a new incarnation.
 */
class SimWorker(
    private val loop: SimLoop,
    val machine: SimMachine,
    resources: Resources,
    private val workload: SimWorkload,
    private val times: SimWorkerTimes,
    private val controllers: List<String>,
    /** The address for direct commands, by default with a port of its own for each machine. */
    private val address: String = "10.1.0.1:${machine.machineName.removePrefix("host-").toInt() + 1}",
    private val heartbeats: HeartbeatSender,
) {
    private val tasks = SimTaskRunner(loop, machine, resources, workload, times.gangWaitS) { hasChanges = true }
    private var incarnation = 1L
    private var sequenceNumber = 0L
    private var fencingToken = 0uL

    /** When the last acknowledged heartbeat was sent. */
    private var leaseRenewedS = loop.nowS
    private var incarnationStartedS = loop.nowS

    /** The index in [controllers] of the controller that receives the heartbeats. */
    private var controller = loop.random.nextInt(controllers.size)
    private var inFlight = false
    private var hasChanges = true
    private var lastSentS = -1.0
    private var started = false

    /** Whether the process hangs; commands that arrive wait until it resumes. */
    var hung = false

    /** Whether the machine and its tasks are terminated. */
    var terminated = false
        private set

    /** The time until the cloud terminates the machine, as reported to the controller; null without a notice. */
    var terminationNoticeS: Double? = null

    /** Whether any task on this worker has not ended. */
    val hasLiveTasks: Boolean by tasks::hasLiveTasks

    /** The duration of an image pull on this worker; null for a random one at each start. */
    var pullDurationS: Double? by tasks::pullDurationS

    /** Whether every task that starts on this worker fails. */
    var failsTasks: Boolean by tasks::failsTasks

    /** Whether responses and commands do not reach the worker; its heartbeats still reach the controllers. */
    var inboundBlocked = false

    /** Whether heartbeats reach no controller; commands still reach the worker. */
    var outboundBlocked = false

    private val bufferedCommands = ArrayList<FieldMap>()

    /** Buffers a command that arrives while the process is [hung]. */
    fun bufferCommand(command: FieldMap) {
        bufferedCommands += command
    }

    fun start() {
        started = true
        loop.after((STEP_S * SimLoop.SECOND).toLong(), ::step)
    }

    /** Restarts the machine at once: its tasks are gone, and it has forgotten the fencing token. */
    fun restart() {
        tasks.terminateAll()
        fencingToken = 0uL
        startIncarnation()
    }

    fun terminate() {
        terminated = true
        tasks.terminateAll()
    }

    private fun step() {
        if (terminated) return
        if (!hung) {
            for (command in bufferedCommands) execute(command)
            bufferedCommands.clear()
            checkLease()
            tasks.advance(STEP_S)
            val sinceLastS = loop.nowS - lastSentS
            val isDue = sinceLastS > times.heartbeatIntervalS || hasChanges && sinceLastS > MIN_HEARTBEAT_INTERVAL_S
            if (!inFlight && isDue) heartbeat()
        }
        loop.after((STEP_S * SimLoop.SECOND).toLong(), ::step)
    }

    private fun checkLease() {
        if (loop.nowS - maxOf(leaseRenewedS, incarnationStartedS) <= times.leaseS) return
        if (tasks.hasLiveTasks) workload.invariants.leasesExpired++
        tasks.terminateAll()
        startIncarnation()
    }

    private fun startIncarnation() {
        incarnation++
        incarnationStartedS = loop.nowS
        hasChanges = true
    }

    private fun heartbeatBody(): Map<String, Any?> = mapOf(
        "host" to machine.machineName,
        "address" to address,
        "flavor" to machine.machineType,
        "site" to machine.zone,
        "lendable" to machine.preemptible,
        "tenure" to incarnation,
        "tally" to ++sequenceNumber,
        "epoch" to fencingToken,
        "warning_s" to terminationNoticeS,
        "shards" to tasks.report(),
    )

    private fun heartbeat() {
        inFlight = true
        hasChanges = false
        lastSentS = loop.nowS
        val sentS = loop.nowS
        val sentIncarnation = incarnation
        if (outboundBlocked) return timeOutLater()
        heartbeats.send(controllers[controller], Cbor.encode(heartbeatBody())) { answer ->
            inFlight = false
            when {
                terminated -> Unit
                // A blocked response never arrives, and a hung process does not read it in time: both are timeouts.
                inboundBlocked || hung -> {
                    inFlight = true
                    timeOutLater()
                }
                answer?.status == OK -> if (sentIncarnation == incarnation) renewLease(Cbor.decode(answer.body), sentS)
                answer?.status == REDIRECT -> followRedirect(Cbor.decode(answer.body).text("steward"))
                else -> tryNextController()
            }
        }
    }

    /** Tries the next controller after the timeout for responses. */
    private fun timeOutLater() = loop.after((RESPONSE_TIMEOUT_S * SimLoop.SECOND).toLong()) {
        inFlight = false
        tryNextController()
    }

    private fun followRedirect(owner: String?) {
        val index = controllers.indexOf(owner)
        if (index >= 0 && index != controller) controller = index else tryNextController()
        hasChanges = true
    }

    private fun tryNextController() {
        controller = (controller + 1) % controllers.size
    }

    private fun renewLease(answer: FieldMap, sentS: Double) {
        val token = answer.unsigned("epoch") ?: return
        if (token < fencingToken || loop.nowS - sentS > RESPONSE_TIMEOUT_S) return
        raiseFencingToken(token)
        leaseRenewedS = sentS
        tasks.execute(answer)
    }

    private fun raiseFencingToken(token: ULong) {
        if (token > fencingToken) hasChanges = true
        fencingToken = maxOf(fencingToken, token)
    }

    /** Returns the machine with its free resources, or null if it is not healthy. */
    fun healthyMachine(): HealthyMachine? {
        val isHealthy = started && !terminated && !hung && !failsTasks && !inboundBlocked && !outboundBlocked
        return if (isHealthy) HealthyMachine(machine, tasks.freeResources) else null
    }

    /** Executes a direct command (`/do`), unless its fencing token is stale or its incarnation differs. */
    fun execute(command: FieldMap): Response {
        val isCurrent = (command.unsigned("epoch") ?: 0uL) >= fencingToken &&
            command.unsigned("tenure")?.toLong() == incarnation
        if (isCurrent) {
            raiseFencingToken(command.requireUnsigned("epoch"))
            tasks.execute(command)
        }
        return Response(if (isCurrent) OK else CONFLICT, Cbor.encode(heartbeatBody()))
    }

    private companion object {
        const val STEP_S = 0.1

        /** The minimum interval between two heartbeats. */
        const val MIN_HEARTBEAT_INTERVAL_S = 0.5
        const val RESPONSE_TIMEOUT_S = 4.0
        const val OK = 200
        const val CONFLICT = 409
        const val REDIRECT = 421
    }
}
