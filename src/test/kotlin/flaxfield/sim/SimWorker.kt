package flaxfield.sim

import flaxfield.codec.Cbor
import flaxfield.codec.FieldMap
import flaxfield.jobs.Resources
import flaxfield.net.Response

/** Times of the simulated workers, as PROTOCOL-flaxfield.md describes them. */
class SimWorkerTimes(val heartbeatIntervalS: Double, val leaseS: Double, val gangWaitS: Double)

/** Sends a worker's heartbeats. */
fun interface HeartbeatSender {
    /** Sends [heartbeat] to [controller]; [done] gets the answer, or null where there is none in time. */
    fun send(controller: String, heartbeat: ByteArray, done: (Response?) -> Unit)
}

/** A machine that is up and healthy, and what its worker has free. */
class HealthyMachine(val machine: SimMachine, val free: Resources)

/**
 * A stand-in for one worker: keeps its lease with heartbeats to one controller at a time, follows fencing tokens and
 * carries out commands. A lease that runs out ends all tasks and begins a new incarnation.
 */
class SimWorker(
    private val loop: SimLoop,
    val machine: SimMachine,
    resources: Resources,
    private val workload: SimWorkload,
    private val times: SimWorkerTimes,
    private val controllers: List<String>,
    /** Where direct commands reach it; by default one port for each machine of the simulation. */
    private val address: String = "10.1.0.1:${machine.machineName.removePrefix("host-").toInt() + 1}",
    private val heartbeats: HeartbeatSender,
) {
    private val tasks = SimTaskRunner(loop, machine, resources, workload, times.gangWaitS) { changed = true }
    private var incarnation = 1L
    private var sequenceNumber = 0L
    private var fencingToken = 0uL

    /** When the last heartbeat was sent that has been answered. */
    private var renewedS = loop.nowS
    private var incarnationSinceS = loop.nowS

    /** The index in [controllers] of the one that gets heartbeats now. */
    private var controller = loop.random.nextInt(controllers.size)
    private var inFlight = false
    private var changed = true
    private var lastSentS = -1.0
    private var started = false

    /** The process stands still; commands that arrive wait until it goes on. */
    var hung = false

    /** The machine and all on it are gone. */
    var terminated = false
        private set

    /** How long the cloud still leaves it the machine; null without a notice. */
    var terminationNoticeS: Double? = null

    /** Whether every task that starts here fails. */
    var failsTasks: Boolean by tasks::failsTasks

    /** Heartbeats arrive; answers and commands do not reach it. */
    var inboundBlocked = false

    /** It reaches no controller; commands reach it. */
    var outboundBlocked = false

    private val heldCommands = ArrayList<FieldMap>()

    /** Keeps a command that arrives while the process is [hung]. */
    fun hold(command: FieldMap) {
        heldCommands += command
    }

    fun start() {
        started = true
        loop.after((STEP_S * SimLoop.SECOND).toLong(), ::step)
    }

    fun terminate() {
        terminated = true
        tasks.dropAll()
    }

    private fun step() {
        if (terminated) return
        if (!hung) {
            for (command in heldCommands) execute(command)
            heldCommands.clear()
            checkLease()
            tasks.advance(STEP_S)
            val sinceLastS = loop.nowS - lastSentS
            val isDue = sinceLastS > times.heartbeatIntervalS || changed && sinceLastS > MIN_GAP_S
            if (!inFlight && isDue) heartbeat()
        }
        loop.after((STEP_S * SimLoop.SECOND).toLong(), ::step)
    }

    private fun checkLease() {
        if (loop.nowS - maxOf(renewedS, incarnationSinceS) <= times.leaseS) return
        if (tasks.hasLiveTasks) workload.invariants.leasesLost++
        tasks.dropAll()
        incarnation++
        incarnationSinceS = loop.nowS
        changed = true
    }

    private fun body(): Map<String, Any?> = mapOf(
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
        changed = false
        lastSentS = loop.nowS
        val sentS = loop.nowS
        val sentIncarnation = incarnation
        if (outboundBlocked) return giveUpLater()
        heartbeats.send(controllers[controller], Cbor.encode(body())) { answer ->
            inFlight = false
            when {
                terminated -> Unit
                // To the worker this is no answer at all. A process that hangs has none in time either.
                inboundBlocked || hung -> {
                    inFlight = true
                    giveUpLater()
                }
                answer?.status == OK -> if (sentIncarnation == incarnation) renewed(Cbor.decode(answer.body), sentS)
                answer?.status == REDIRECT -> followRedirect(Cbor.decode(answer.body).text("steward"))
                else -> tryNextController()
            }
        }
    }

    /** Without an answer, the worker waits for as long as it waits for any, and then asks the next controller. */
    private fun giveUpLater() = loop.after((ANSWER_TIMEOUT_S * SimLoop.SECOND).toLong()) {
        inFlight = false
        tryNextController()
    }

    private fun followRedirect(owner: String?) {
        val index = controllers.indexOf(owner)
        if (index >= 0 && index != controller) controller = index else tryNextController()
        changed = true
    }

    private fun tryNextController() {
        controller = (controller + 1) % controllers.size
    }

    private fun renewed(answer: FieldMap, sentS: Double) {
        val token = answer.unsigned("epoch") ?: return
        if (token < fencingToken || loop.nowS - sentS > ANSWER_TIMEOUT_S) return
        raiseFencingToken(token)
        renewedS = sentS
        tasks.execute(answer)
    }

    private fun raiseFencingToken(token: ULong) {
        if (token > fencingToken) changed = true
        fencingToken = maxOf(fencingToken, token)
    }

    /** The machine with what it has free now; null if it is not healthy. */
    fun healthyMachine(): HealthyMachine? {
        val isHealthy = started && !terminated && !hung && !failsTasks && !inboundBlocked && !outboundBlocked
        return if (isHealthy) HealthyMachine(machine, tasks.freeResources) else null
    }

    /** A direct command (`/do`): carried out if fencing token and incarnation match. */
    fun execute(command: FieldMap): Response {
        val isCurrent = (command.unsigned("epoch") ?: 0uL) >= fencingToken &&
            command.unsigned("tenure")?.toLong() == incarnation
        if (isCurrent) {
            raiseFencingToken(command.requireUnsigned("epoch"))
            tasks.execute(command)
        }
        return Response(if (isCurrent) OK else CONFLICT, Cbor.encode(body()))
    }

    private companion object {
        const val STEP_S = 0.1

        /** The least time between two heartbeats. */
        const val MIN_GAP_S = 0.5
        const val ANSWER_TIMEOUT_S = 4.0
        const val OK = 200
        const val CONFLICT = 409
        const val REDIRECT = 421
    }
}
