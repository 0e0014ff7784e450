package flaxfield.sim

import flaxfield.Samples
import flaxfield.codec.Cbor
import flaxfield.controller.Command
import flaxfield.controller.Controller
import flaxfield.controller.ControllerTransports
import flaxfield.controller.SubsystemFactory
import flaxfield.drain.DrainOrder
import flaxfield.drain.DrainRecord
import flaxfield.drain.FleetConfig
import flaxfield.drain.FleetControl
import flaxfield.drain.OrderResult
import flaxfield.jobs.JobSpec
import flaxfield.net.HttpTransport
import flaxfield.net.Request
import flaxfield.net.Response
import flaxfield.peers.PeerConnection
import flaxfield.peers.PeerFrames
import flaxfield.peers.PeerMessage
import flaxfield.settings.Address
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Peer
import flaxfield.settings.Settings
import flaxfield.settings.StateLimits
import flaxfield.settings.Team
import flaxfield.settings.WorkerTimes
import flaxfield.store.StoreKeys

/** Three controllers against stand-ins, with up to [perZone] machines of each kind in each of [machineZones]. */
class SimCluster(
    seed: Int,
    perZone: Int = 3,
    private val limits: StateLimits = StateLimits(150.0, 60.0, 4.0, 24),
    val cancelS: Double = CANCEL_S,
    private val teams: List<Team> = listOf(
        Samples.team("red", gpus = 4.0, gpusMax = 10.0 * perZone / 3),
        Samples.team("blue"),
    ),
    /** What each controller's fleet file says; null where they run without. */
    private val fleet: ((Int) -> FleetConfig?)? = null,
    /** Where the controllers are. */
    private val zones: List<String> = listOf("a", "b", "a"),
    private val machineZones: List<String> = listOf("a", "b"),
    private val operator: OperatorSettings = OperatorSettings(),
) {
    private val recorder = SimRecorder.current
    val loop = SimLoop(seed)
    val state = SimState(loop, limits)
    val rules = Rules(teams.filter { it.gpusMax > 0.0 }.associate { it.name to it.gpusMax }, cancelS, LEASE_S)
    val specs = HashMap<String, JobSpec>()
    val names = listOf("n-0", "n-1", "n-2")
    private val times = WorkerTimes(1.0, LEASE_S, 10.0, 3.0, cancelS)
    private val runs = IntArray(3)
    private val nodes = arrayOfNulls<Controller>(3)
    val stateWire = List(3) { SimLink(loop) }
    val workerWire = List(3) { SimLink(loop) }
    private val cloudWire = List(3) { SimLink(loop) }

    /** A controller that its peers do not reach, nor it them. */
    val peerCut = BooleanArray(3)

    /** No controller connects to another, though all live. */
    var peersRefuse = false

    /** A zone that reaches nothing outside it, nor is reached: its workers and its controllers see one another only. */
    var zoneCut: String? = null
        set(value) {
            field = value
            for (i in names.indices) {
                stateWire[i].cut = value == zones[i]
                cloudWire[i].cut = value == zones[i]
            }
            if (value == null) {
                val late = heldReports.toList()
                heldReports.clear()
                for ((k, send) in late.withIndex()) loop.after((k + 1L) * SimLoop.MS, send)
            }
        }
    private val heldReports = ArrayList<() -> Unit>()

    /** What each controller's share of a core gives. */
    val processors = List(3) { SimProcessor(loop) }

    /** Runs [block] as controller [i] when its processor has come to it, if the process is still the same. */
    private fun work(i: Int, work: Work, block: () -> Unit) {
        val run = runs[i]
        processors[i].run(work) { awake(i) { if (runs[i] == run) block() } }
    }

    /** A controller that stands still while its clocks run on: what reaches it waits. */
    private val frozen = arrayOfNulls<ArrayList<() -> Unit>>(3)

    private fun apart(zone: String, i: Int) = zoneCut != null && (zone == zoneCut) != (zones[i] == zoneCut)

    fun freeze(i: Int, forS: Double) {
        if (frozen[i] != null) return
        frozen[i] = ArrayList()
        loop.after((forS * SimLoop.SECOND).toLong()) {
            val late = frozen[i].orEmpty()
            frozen[i] = null
            for (run in late) run()
        }
    }

    /** Runs [block] as the controller, or later if it stands still now. */
    private fun awake(i: Int, block: () -> Unit) {
        frozen[i]?.add(block) ?: block()
    }

    /** Whether connections that a cut hits are reset; else they hang until who asks gives up. */
    var cutsReset = false

    /** A controller that no worker reaches, nor it them; its peers and the state service do. */
    val workersCut = BooleanArray(3)

    /** Users ask at all nodes within milliseconds after each news. */
    var closeLooks = false

    /** How many times as often users ask; beside their own jobs they then ask for ones that nobody submitted. */
    var storm = 1

    /** Chance that a copy of a report arrives once more, much later, at any controller. */
    var copies = 0.0

    /** Chance that a copy of a report is kept and reaches every controller just as the next leader begins. */
    var copiesForNext = 0.0
    private val keptForNext = ArrayList<ByteArray>()

    /** How many leaders there have been. */
    var leaders = 0
        private set

    /** The controller that leads now, as the state service has it. */
    val leader: Int get() = names.indexOf(state.text(StoreKeys.LEADER, "name")).coerceAtLeast(0)

    private var leaderStamp = 0L

    /** To be called often: what was kept for the next leader is sent once there is one. */
    fun noteLeader() {
        val now = state.version(StoreKeys.LEADER)
        if (now == leaderStamp || now == 0L) return
        leaderStamp = now
        leaders++
        val late = keptForNext.toList()
        keptForNext.clear()
        // Before it has written its assignment, and again once it has.
        for (body in late) {
            for (to in names.indices) {
                for (ms in longArrayOf(1, 40, 400)) {
                    loop.after(ms * SimLoop.MS) {
                        http(to, "POST", "/hello", body, 4_000, workerWire[to]) { }
                    }
                }
            }
        }
    }
    private val gangs = SimGangs()
    val cloud: SimCloud = SimCloud(loop, machineZones.associateWith { perZone }, lagS = 3.0) { place ->
        SimWorker(loop, place, SimCloud.ROOM, rules, specs, gangs, SimTimes(1.0, LEASE_S, 10.0, 3.0), names) {
                node,
                body,
                done,
            ->
            hello(place.zone, node, body, done)
        }
    }

    private fun settings(i: Int) = Settings(
        names[i], zones[i], Address("10.0.0.${i + 1}", 1), Address("10.0.0.${i + 1}", 2),
        names.indices.filter { it != i }.map { Peer(names[it], Address("10.0.0.${it + 1}", 2)) },
        Address("10.2.0.1", 1), Address("10.2.0.2", 1), 3,
        teams.associateBy { it.name },
        emptyList(), times, limits, 2.0, 3.0, 1000, zones = machineZones.size,
    )

    fun boot(i: Int) {
        val run = ++runs[i]
        val alive = { runs[i] == run && nodes[i] != null }
        var self: Controller? = null
        val post: (() -> Unit) -> Unit = { block ->
            loop.after(1) {
                work(i, Work.FOLLOW_UP) {
                    if (alive()) {
                        self?.handle(Command.Run(block))
                        self?.turn()
                    }
                }
            }
        }
        val transports = ControllerTransports(
            storeTransport(i, alive),
            storeTransport(i, alive),
            cloudWire[i].apply {
                late = 0.02
                loseAnswer = 0.02
            }.line(alive, cloud::serve).let { recorded(SimChannel.CLOUD, names[i], it) },
            { address ->
                workerWire[i].line(alive) { _, _, body, answer ->
                    if (!workersCut[i]) direct(i, address, body, answer)
                }.let { recorded(SimChannel.COMMAND, "${names[i]} ${address.host}:${address.port}", it) }
            },
            { address, onMessage -> PeerConnection { m -> peer(i, address, m) { if (alive()) onMessage(it) } } },
        )
        val subsystem = fleet?.invoke(i)?.let { config ->
            SubsystemFactory { parts -> FleetControl(parts, config).also { controls[i] = it } }
        }
        val c = Controller(settings(i), operator, "run$run", loop, transports, MAX_DIRECT, subsystem, post)
        self = c
        nodes[i] = c
        c.start()
        beat(i, run)
    }

    private fun storeTransport(i: Int, alive: () -> Boolean): HttpTransport = recorded(
        SimChannel.STATE,
        names[i],
        stateWire[i].line(alive) { m, t, b, answer -> state.serve(i, m, t, b, answer) },
    )

    /** [calls] of [sender], each of them told to the recorder first. */
    private fun recorded(channel: SimChannel, sender: String, calls: HttpTransport): HttpTransport {
        val to = recorder ?: return calls
        return HttpTransport { method, path, body, timeoutMs, done ->
            to.sent(loop.nowNs, channel, "$sender $method $path $timeoutMs", body ?: ByteArray(0))
            calls.send(method, path, body, timeoutMs, done)
        }
    }

    private fun beat(i: Int, run: Int) {
        if (runs[i] != run) return
        if (frozen[i] == null) work(i, Work.TURN) { nodes[i]?.turn(waitingReports(i)) }
        loop.after(maxOf(Controller.TICK_MS * SimLoop.MS, processors[i].behindNs)) { beat(i, run) }
    }

    /** How many reports wait at a controller that is behind, as its queue would tell. */
    private fun waitingReports(i: Int): Int = (processors[i].behindNs / Work.REPORT.costNs).toInt()

    /** What the fleet file has switched on in each controller's present process. */
    val controls = arrayOfNulls<FleetControl>(3)

    /** An operator's order to controller [i]; [done] gets nothing if that process ends meanwhile. */
    fun order(i: Int, order: DrainOrder, done: (OrderResult<DrainRecord>) -> Unit) = work(i, Work.USER) {
        controls[i]?.order(order, done)
    }

    fun kill(i: Int, downS: Double) {
        runs[i]++
        processors[i].restart()
        nodes[i] = null
        controls[i] = null
        loop.after((downS * SimLoop.SECOND).toLong()) { if (nodes[i] == null) boot(i) }
    }

    private fun direct(from: Int, address: Address, body: ByteArray, answer: (Response) -> Unit) {
        val w = cloud.machines["host-%06d".format(address.port - 1)] ?: return
        if (w.deaf || apart(w.place.zone, from)) return
        if (w.hangs) w.hold(Cbor.decode(body)) else answer(w.direct(Cbor.decode(body)))
    }

    private fun peer(from: Int, address: Address, m: PeerMessage, back: (PeerMessage) -> Unit) {
        val to = address.host.substringAfterLast('.').toInt() - 1
        recorder?.sent(loop.nowNs, SimChannel.PEER, "${names[from]} ${names[to]}", PeerFrames.encode(m))
        loop.after(2 * SimLoop.MS) {
            if (!workerWire[from].cut &&
                !workerWire[to].cut &&
                !peerCut[from] &&
                !peerCut[to] &&
                !peersRefuse &&
                !apart(zones[from], to)
            ) {
                work(to, Work.PEER) {
                    nodes[to]?.handle(Command.Peer(m) { r -> loop.after(2 * SimLoop.MS) { back(r) } })
                }
            }
        }
    }

    private fun hello(zone: String, node: String, body: ByteArray, done: (Response?) -> Unit) {
        val to = names.indexOf(node)
        if (apart(zone, to)) {
            // The cut holds the packets: the report arrives with the heal, long after the worker has given up.
            heldReports += { http(to, "POST", "/hello", body, 4_000, workerWire[to]) { } }
            return loop.after(4 * SimLoop.SECOND) { done(null) }
        }
        if (workersCut[to]) return loop.after(if (cutsReset) SimLoop.MS else 4 * SimLoop.SECOND) { done(null) }
        http(names.indexOf(node), "POST", "/hello", body, 4_000, workerWire[names.indexOf(node)], done)
        if (loop.random.nextDouble() < copies) {
            val late = loop.random.nextLong(2 * SimLoop.SECOND, 20 * SimLoop.SECOND)
            val to = loop.random.nextInt(3)
            loop.after(late) { http(to, "POST", "/hello", body, 4_000, workerWire[to]) { } }
        }
        if (loop.random.nextDouble() < copiesForNext && keptForNext.size < MAX_KEPT) keptForNext += body
    }

    fun user(i: Int, method: String, path: String, body: ByteArray, done: (Response?) -> Unit) =
        http(i, method, path, body, 2_000, SimLink(loop).apply { cut = zoneCut == zones[i] }, done)

    private fun http(
        i: Int,
        method: String,
        path: String,
        body: ByteArray,
        timeoutMs: Long,
        wire: SimLink,
        done: (Response?) -> Unit,
    ) {
        val sentNs = loop.nowNs
        recorder?.sent(sentNs, SimChannel.REQUEST, "${names[i]} $method $path", body)
        val line = wire.line({ true }) { m, p, b, answer ->
            val kind = if (p == "/hello") Work.REPORT else Work.USER
            if (!processors[i].takes(kind)) return@line answer(Response(503, ByteArray(0)))
            work(i, kind) {
                var answers = 0
                nodes[i]?.apply {
                    handle(
                        Command.Http(
                            // What its sender has given up on is dropped, as when its connection has gone.
                            Request(m, p, "", b, {
                                loop.nowNs - sentNs < timeoutMs * SimLoop.MS
                            }) { status, out, retryAfterS ->
                                // On a kept connection a second answer would be taken for the next request's.
                                if (++answers > 1) rules.broken += "$m $p answered $answers times, at ${loop.nowS}"
                                recorder?.sent(
                                    loop.nowNs,
                                    SimChannel.ANSWER,
                                    "${names[i]} $m $p $status $retryAfterS",
                                    out.bytes,
                                )
                                answer(Response(status, out.bytes))
                            },
                        ),
                    )
                    turn()
                }
            }
        }
        line.send(method, path, body, timeoutMs, done)
    }

    /** Checks what is checked all the time, until the end of the day. */
    fun watch(troublesOverS: Double) {
        state.expire()
        cloud.note()
        noteLeader()
        rules.check(loop.nowS)
        if (loop.nowS > troublesOverS) {
            rules.checkKnown(loop.nowS)
            rules.checkWaiting(loop.nowS, cloud.candidates())
        }
        loop.after(200 * SimLoop.MS) { watch(troublesOverS) }
    }

    /** A job that a user will submit. */
    fun job(spec: JobSpec): JobSpec {
        specs[spec.id] = spec
        rules.submitted(spec)
        return spec
    }

    companion object {
        const val CANCEL_S = 20.0
        const val LEASE_S = 6.0
        private const val MAX_DIRECT = 16
        private const val MAX_KEPT = 200
    }
}
