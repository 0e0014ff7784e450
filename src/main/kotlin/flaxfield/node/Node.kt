package flaxfield.node

import flaxfield.arrays.ArrayDesk
import flaxfield.codec.Wire
import flaxfield.fleet.CloudClient
import flaxfield.fleet.FleetDesk
import flaxfield.gangs.GangDesk
import flaxfield.jobs.JobDesk
import flaxfield.jobs.Settlement
import flaxfield.members.Member
import flaxfield.members.MemberDesk
import flaxfield.net.Body
import flaxfield.net.HttpClient
import flaxfield.net.HttpServer
import flaxfield.net.Reply
import flaxfield.net.Request
import flaxfield.peers.PeerDesk
import flaxfield.peers.PeerMessage
import flaxfield.peers.PeerServer
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings
import flaxfield.store.StoreClient
import flaxfield.store.World
import flaxfield.workers.DirectOrders
import flaxfield.workers.WorkerDesk
import io.netty.channel.nio.NioEventLoopGroup
import org.slf4j.LoggerFactory
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** What the owner thread takes from its queue. */
private sealed interface Command {
    class Http(val request: Request) : Command

    class Peer(val message: PeerMessage, val answer: (PeerMessage) -> Unit) : Command

    class Run(val block: () -> Unit) : Command
}

/** One controller process: the owner thread, its queue and the slices it runs. */
class Node(private val settings: Settings, private val operator: OperatorSettings, incarnation: String) {
    private val queue = LinkedBlockingQueue<Command>()

    /** Outside commands in the queue; our own follow-ups are bounded by what we have open. */
    private val outside = AtomicInteger()
    private val loop = NioEventLoopGroup(1)
    private val metrics = Metrics()

    private val store = StoreClient(
        calls = HttpClient(loop, settings.state, STORE_CONNECTIONS, STORE_WAITING),
        watch = HttpClient(loop, settings.state, 1, 1),
        timeoutMs = STORE_TIMEOUT_MS,
    )
    private val hub = Hub(
        settings,
        operator,
        Member(settings.nodeName, incarnation, settings.zone),
        Clock.System,
        store,
        World(),
    ) { block -> queue.add(Command.Run(block)) }

    private val peers = PeerDesk(hub, loop)
    private val settlement = Settlement(hub)
    private val workers = WorkerDesk(hub, settlement, peers, DirectOrders(loop, DIRECT_TIMEOUT_MS))
    private val jobs = JobDesk(hub)
    private val members = MemberDesk(hub)
    private val gangs = GangDesk(hub)
    private val arrays = ArrayDesk(hub, workers)
    private val fleet = FleetDesk(hub, CloudClient(HttpClient(loop, settings.cloud, 2), CLOUD_TIMEOUT_MS), settlement)
    private val follower = Follower(hub, jobs, workers)

    private var nextTickNs = 0L
    private var nextDecideNs = 0L
    private var decideAnywayNs = 0L

    /** Binds both addresses, then runs until the process ends. */
    fun serve(): Nothing {
        HttpServer(loop, ::offer).bind(settings.serveOn.host, settings.serveOn.port)
        PeerServer(loop) { m, answer -> queue.add(Command.Peer(m, answer)) }
            .bind(settings.internalAddr.host, settings.internalAddr.port)
        log.info("node={} run={} serves on {}", settings.nodeName, hub.me.incarnation, settings.serveOn)
        follower.start()
        val batch = ArrayList<Command>(BATCH)
        while (true) {
            val first = queue.poll(TICK_MS, TimeUnit.MILLISECONDS)
            if (first != null) {
                batch += first
                queue.drainTo(batch, BATCH - 1)
            }
            for (c in batch) safely { handle(c) }
            batch.clear()
            val now = System.nanoTime()
            if (now >= nextTickNs) {
                nextTickNs = now + TICK_MS * NS_PER_MS
                tick()
            }
            if ((hub.dirty && now >= nextDecideNs) || now >= decideAnywayNs) {
                nextDecideNs = now + DECIDE_GAP_MS * NS_PER_MS
                decideAnywayNs = now + DECIDE_ANYWAY_MS * NS_PER_MS
                decide()
            }
        }
    }

    /** The first stage: on the network thread, refuses at once when the owner is behind. */
    private fun offer(request: Request) {
        if (outside.get() >= operator.queueCommands) {
            metrics.refused()
            request.reply.send(503, Body.EMPTY, 1)
            return
        }
        outside.incrementAndGet()
        queue.add(Command.Http(request))
    }

    private fun handle(c: Command) {
        when (c) {
            is Command.Run -> c.block()
            is Command.Peer -> peer(c)
            is Command.Http -> {
                outside.decrementAndGet()
                val startNs = System.nanoTime()
                route(c.request)
                metrics.handled(c.request.path, System.nanoTime() - startNs)
            }
        }
    }

    private fun route(r: Request) {
        val path = r.path
        when {
            path == "/hello" -> on(r, "POST") { workers.report(r.body, r.reply) }
            path == "/work" -> on(r, "POST") { jobs.submit(r.body, r.reply) }
            path.startsWith("/work/") && path.endsWith("/cancel") ->
                on(r, "POST") { jobs.cancel(path.removePrefix("/work/").removeSuffix("/cancel"), r.reply) }
            path.startsWith("/work/") -> on(r, "GET") { jobs.status(path.removePrefix("/work/"), r.reply) }
            path == "/ready" -> on(r, "GET") { r.reply.send(if (ready()) 200 else 503, Body.EMPTY, null) }
            path == "/metrics" -> on(r, "GET") { r.reply.send(200, Body(metrics.text().toByteArray(), "text/plain"), null) }
            else -> r.reply.send(404, Body(Wire.encode(mapOf("error" to "no such path")), Body.CBOR), null)
        }
    }

    private fun on(r: Request, method: String, block: () -> Unit) {
        if (r.method == method) return block()
        r.reply.send(405, Body(Wire.encode(mapOf("error" to "only $method here")), Body.CBOR), null)
    }

    /** In an outage for all we stay ready and answer 503; if only we are refused, users are better off elsewhere. */
    private fun ready(): Boolean {
        if (!follower.synced) return false
        val away = hub.nowNs - hub.stateOkNs > settings.workers.leaseS * AWAY_SHARE * NS_PER_S
        return !away || !peers.stateOkElsewhere()
    }

    private fun peer(c: Command.Peer) {
        when (val m = c.message) {
            is PeerMessage.Pulse -> peers.pulse(m)
            is PeerMessage.Relay -> workers.relayed(m.report, Reply { status, body, _ -> c.answer(PeerMessage.Relayed(m.id, status, body.bytes)) })
            is PeerMessage.Relayed -> Unit
        }
    }

    private fun tick() {
        safely { members.tick() }
        safely { follower.tick() }
        safely { workers.tick() }
        safely { jobs.tick() }
        safely { peers.tick() }
        safely { fleet.run() }
    }

    private fun decide() {
        hub.dirty = false
        hub.caughtUp()
        safely { workers.noteTerm() }
        safely { hub.noteReserved() }
        safely { settlement.run() }
        safely { gangs.run() }
        safely { arrays.run() }
        safely { workers.haltNow() }
    }

    /** No fault in one command ends the process. */
    private inline fun safely(block: () -> Unit) {
        try {
            block()
        } catch (e: Exception) {
            log.error("internal fault", e)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.node")
        const val BATCH = 128
        const val TICK_MS = 100L
        const val DECIDE_GAP_MS = 30L
        const val DECIDE_ANYWAY_MS = 500L
        const val STORE_CONNECTIONS = 6
        const val STORE_WAITING = 64
        const val STORE_TIMEOUT_MS = 1_500L
        const val CLOUD_TIMEOUT_MS = 4_000L
        const val DIRECT_TIMEOUT_MS = 2_000L
        const val AWAY_SHARE = 0.25
        const val NS_PER_MS = 1_000_000L
        const val NS_PER_S = 1e9
    }
}
