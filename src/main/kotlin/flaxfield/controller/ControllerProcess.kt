package flaxfield.controller

import flaxfield.net.Body
import flaxfield.net.ConnectionQuotas
import flaxfield.net.HttpClient
import flaxfield.net.HttpServer
import flaxfield.net.OutboundQueue
import flaxfield.net.Request
import flaxfield.peers.PeerClient
import flaxfield.peers.PeerServer
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Settings
import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoopGroup
import org.slf4j.LoggerFactory
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** One controller process: the network, the queue and the owner thread around a [Controller]. */
class ControllerProcess(
    private val settings: Settings,
    private val operator: OperatorSettings,
    private val incarnation: String,
    subsystem: SubsystemFactory? = null,
) {
    private val intake = CommandQueue(operator.queueCommands)
    private val shares = ConnectionQuotas.of(settings.maxSockets)
    private val loop = NioEventLoopGroup(1)
    private val out = OutboundQueue(loop.next() as EventLoop)
    private val controller = Controller(
        settings,
        operator,
        incarnation,
        Clock.System,
        ControllerTransports(
            state = HttpClient(loop, out, settings.state, STORE_CONNECTIONS, STORE_WAITING),
            watch = HttpClient(loop, out, settings.state, 1, 1),
            cloud = HttpClient(loop, out, settings.cloud, 2),
            worker = { HttpClient(loop, out, it, 1, keepAlive = false) },
            peer = { address, onMessage -> PeerClient(loop, out, address, onMessage) },
            flushLate = out::flushLate,
        ),
        shares.direct,
        subsystem,
    ) { block -> intake.follow(Command.Run(block)) }

    @Volatile
    private var stopping = false

    /** Hands [block] to the owner thread; safe from any thread. */
    fun post(block: () -> Unit) {
        intake.follow(Command.Run(block))
    }

    /**
     * Takes no new requests, gives this process's part away, and returns once what was queued has been answered, after
     * [withinMs] at the latest. Called from another thread while the owner thread goes on.
     */
    fun stop(withinMs: Long) {
        stopping = true
        val left = CountDownLatch(1)
        post { controller.leave(left::countDown) }
        left.await(withinMs, TimeUnit.MILLISECONDS)
        val answered = CountDownLatch(1)
        post { answered.countDown() }
        answered.await(withinMs, TimeUnit.MILLISECONDS)
        // The answers of the last batch are flushed after it.
        Thread.sleep(LINGER_MS * 2)
    }

    /** Binds both addresses, then runs as the owner thread until the process ends. */
    fun serve(): Nothing {
        HttpServer(
            loop,
            out,
            shares,
            settings.workers.leaseS,
            ::offer,
        ).bind(settings.serveOn.host, settings.serveOn.port)
        // Peers' messages are hints: when the owner is behind they are dropped.
        PeerServer(loop) { m, answer -> intake.offer(Command.Peer(m, answer)) }
            .bind(settings.internalAddr.host, settings.internalAddr.port)
        log.info("node={} run={} serves on {}", settings.nodeName, incarnation, settings.serveOn)
        controller.start()
        out.flush()
        val batch = ArrayList<Command>(BATCH)
        while (true) {
            if (intake.await(Controller.TICK_MS)) {
                // What comes in the next moments is taken along: fewer wakings of either thread.
                if (intake.size < BATCH) Thread.sleep(LINGER_MS)
                intake.take(batch, BATCH)
            }
            for (c in batch) controller.handle(c)
            batch.clear()
            controller.turn(intake.workersWaiting)
            out.flush()
        }
    }

    /** The first stage: on the network thread, refuses at once when the owner is behind. */
    private fun offer(request: Request) {
        val taken = !stopping && (request.path != REPORTS_PATH || controller.acceptsHeartbeats())
        if (taken && intake.offer(Command.Http(request))) return
        controller.refused()
        request.responder.send(503, Body.EMPTY, 1)
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.controller")
        const val BATCH = 128
        const val REPORTS_PATH = "/hello"

        /** A small part of the shortest time that anyone waits for us, a user's poll or the view's next news. */
        const val LINGER_MS = 8L
        const val STORE_CONNECTIONS = 6
        const val STORE_WAITING = 64
    }
}
