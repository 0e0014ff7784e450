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

/** One controller process: a [Controller] with its network I/O, its command queue and its owner thread. */
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
        Controller(
            settings,
            operator,
            incarnation,
            Clock.System,
            transports(),
            quotas.directCommands,
            subsystem,
            ::post,
        )

    @Volatile
    private var isStopping = false

    private fun transports() = ControllerTransports(
        state = HttpClient(eventLoops, outbound, settings.state, STORE_CONNECTIONS, MAX_QUEUED_STORE_REQUESTS),
        watch = HttpClient(eventLoops, outbound, settings.state, 1, 1),
        cloud = HttpClient(eventLoops, outbound, settings.cloud, CLOUD_CONNECTIONS),
        worker = { HttpClient(eventLoops, outbound, it, 1, keepAlive = false) },
        peer = { address, onMessage -> PeerClient(eventLoops, outbound, address, onMessage) },
        flushIfOverdue = outbound::flushIfOverdue,
    )

    /** Schedules [block] on the owner thread. Safe to call from any thread. */
    fun post(block: () -> Unit) {
        commands.addFollowUp(Command.Run(block))
    }

    /**
     * Rejects new requests, ends this process's membership and returns once the queued commands have been handled.
     * Each of the last two steps may take [timeoutMs]. Must not be called from the owner thread.
     */
    fun stop(timeoutMs: Long) {
        isStopping = true
        awaitOnOwnerThread(timeoutMs) { done -> controller.leave(done) }
        awaitOnOwnerThread(timeoutMs) { done -> done() }
        // The responses of the last batch are flushed only after the batch.
        Thread.sleep(BATCH_DELAY_MS * 2)
    }

    /** Runs [block] on the owner thread and waits until it calls its argument, at most for [timeoutMs]. */
    private fun awaitOnOwnerThread(timeoutMs: Long, block: (() -> Unit) -> Unit) {
        val done = CountDownLatch(1)
        post { block(done::countDown) }
        done.await(timeoutMs, TimeUnit.MILLISECONDS)
    }

    /** Binds both addresses and makes the calling thread the owner thread until the process ends. */
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
        val batch = ArrayList<Command>(MAX_BATCH_COMMANDS)
        while (true) runBatch(batch)
    }

    private fun bind() {
        HttpServer(eventLoops, outbound, quotas, settings.workers.leaseS, ::offer)
            .bind(settings.serveOn.host, settings.serveOn.port)
        // Messages from peers are hints: they are dropped while the queue is full.
        PeerServer(eventLoops) { message, respond -> commands.offer(Command.Peer(message, respond)) }
            .bind(settings.internalAddr.host, settings.internalAddr.port)
    }

    private fun runBatch(batch: MutableList<Command>) {
        if (commands.await(Controller.TICK_MS)) {
            // Waits briefly so that more commands join the batch, which reduces thread wake-ups.
            if (commands.size < MAX_BATCH_COMMANDS) Thread.sleep(BATCH_DELAY_MS)
            commands.take(batch, MAX_BATCH_COMMANDS)
        }
        for (command in batch) controller.handle(command)
        batch.clear()
        controller.runDueWork(commands.workersWaiting)
        outbound.flush()
    }

    /** Queues a request, or rejects it at once if the queue is full. Called on the network thread. */
    private fun offer(request: Request) {
        val isAccepted = !isStopping && (request.path != ApiPath.HEARTBEAT || controller.acceptsHeartbeats())
        if (isAccepted && commands.offer(Command.Http(request))) return
        controller.countRejected()
        request.responder.send(HttpStatus.SERVICE_UNAVAILABLE, Body.EMPTY, RETRY_AFTER_S)
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.controller")

        /** The largest number of commands that are handled before the next [Controller.runDueWork]. */
        const val MAX_BATCH_COMMANDS = 128

        /**
         * How long a batch waits for more commands. This is a small part of the shortest waits in the system, those for
         * a user's poll and for the next change of the view.
         */
        const val BATCH_DELAY_MS = 8L
        const val STORE_CONNECTIONS = 6

        /** The largest number of requests that wait for a free connection to the store. */
        const val MAX_QUEUED_STORE_REQUESTS = 64
        const val CLOUD_CONNECTIONS = 2

        /** The `Retry-After` value of rejected requests, in seconds. */
        const val RETRY_AFTER_S = 1
    }
}
