package flaxfield.controller

import flaxfield.net.Body
import flaxfield.net.ConnectionQuotas
import flaxfield.net.HttpClient
import flaxfield.net.HttpServer
import flaxfield.net.HttpStatus
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
    operator: OperatorSettings,
    private val incarnation: String,
    subsystem: SubsystemFactory? = null,
) {
    private val commands = CommandQueue(operator.queueCommands)
    private val quotas = ConnectionQuotas.of(settings.maxSockets)
    private val eventLoops = NioEventLoopGroup(1)
    private val outbound = OutboundQueue(eventLoops.next() as EventLoop)
    private val controller =
        Controller(settings, operator, incarnation, Clock.System, transports(), quotas.directCommands, subsystem, ::post)

    @Volatile
    private var isStopping = false

    private fun transports() = ControllerTransports(
        state = HttpClient(eventLoops, outbound, settings.state, STORE_CONNECTIONS, STORE_WAITING),
        watch = HttpClient(eventLoops, outbound, settings.state, 1, 1),
        cloud = HttpClient(eventLoops, outbound, settings.cloud, CLOUD_CONNECTIONS),
        worker = { HttpClient(eventLoops, outbound, it, 1, keepAlive = false) },
        peer = { address, onMessage -> PeerClient(eventLoops, outbound, address, onMessage) },
        flushIfOverdue = outbound::flushIfOverdue,
    )

    /** Hands [block] to the owner thread; safe from any thread. */
    fun post(block: () -> Unit) {
        commands.addFollowUp(Command.Run(block))
    }

    /**
     * Takes no new requests, ends this process's membership, and returns once what was queued has been answered. Each
     * of the two waits for [timeoutMs] at most. Called from another thread while the owner thread goes on.
     */
    fun stop(timeoutMs: Long) {
        isStopping = true
        awaitOwner(timeoutMs) { done -> controller.leave(done) }
        awaitOwner(timeoutMs) { done -> done() }
        // The answers of the last batch are flushed after it.
        Thread.sleep(LINGER_MS * 2)
    }

    /** Runs [block] on the owner thread and waits until it calls its argument. */
    private fun awaitOwner(timeoutMs: Long, block: (() -> Unit) -> Unit) {
        val done = CountDownLatch(1)
        post { block(done::countDown) }
        done.await(timeoutMs, TimeUnit.MILLISECONDS)
    }

    /** Binds both addresses, then runs as the owner thread until the process ends. */
    fun serve(): Nothing {
        bind()
        log.info(
            "event=process_started controller={} incarnation={} address={}",
            settings.nodeName,
            incarnation,
            settings.serveOn,
        )
        controller.start()
        outbound.flush()
        val batch = ArrayList<Command>(BATCH)
        while (true) runBatch(batch)
    }

    private fun bind() {
        HttpServer(eventLoops, outbound, quotas, settings.workers.leaseS, ::offer)
            .bind(settings.serveOn.host, settings.serveOn.port)
        // Peers' messages are hints: when the owner is behind they are dropped.
        PeerServer(eventLoops) { message, answer -> commands.offer(Command.Peer(message, answer)) }
            .bind(settings.internalAddr.host, settings.internalAddr.port)
    }

    private fun runBatch(batch: MutableList<Command>) {
        if (commands.await(Controller.TICK_MS)) {
            // What comes in the next moments is taken along: fewer wakings of either thread.
            if (commands.size < BATCH) Thread.sleep(LINGER_MS)
            commands.take(batch, BATCH)
        }
        for (command in batch) controller.handle(command)
        batch.clear()
        controller.runDueWork(commands.workersWaiting)
        outbound.flush()
    }

    /** Called on the network thread: queues a request, or refuses it at once when the owner is behind. */
    private fun offer(request: Request) {
        val isAccepted = !isStopping && (request.path != ApiPath.HEARTBEAT || controller.acceptsHeartbeats())
        if (isAccepted && commands.offer(Command.Http(request))) return
        controller.countRejected()
        request.responder.send(HttpStatus.SERVICE_UNAVAILABLE, Body.EMPTY, RETRY_AFTER_S)
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.controller")

        /** Commands that are carried out between two turns. */
        const val BATCH = 128

        /**
         * A small part of the shortest time that anyone waits for an answer: a user's poll or the view's next change.
         */
        const val LINGER_MS = 8L
        const val STORE_CONNECTIONS = 6

        /** Requests that may wait for one of the connections to the store. */
        const val STORE_WAITING = 64
        const val CLOUD_CONNECTIONS = 2

        /** When a refused sender may try again. */
        const val RETRY_AFTER_S = 1
    }
}
