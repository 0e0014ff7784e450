package flaxfield.training

import flaxfield.net.Body
import flaxfield.net.ConnectionQuotas
import flaxfield.net.HttpServer
import flaxfield.net.OutboundQueue
import flaxfield.net.Request
import flaxfield.net.Response
import flaxfield.sim.SimLoop
import io.netty.channel.nio.NioEventLoopGroup
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** A simulated service: handles a controller's request and responds to it immediately or later. */
fun interface SimService {
    fun serve(request: Request, respond: (Response) -> Unit)
}

/** Serves simulated services over HTTP on loopback, on a single thread. Simulated time follows the wall clock. */
class SimulationServer {
    val network = NioEventLoopGroup(1)
    val outbox = OutboundQueue(network.next())
    val loop = SimLoop(seed = 1)
    private val executor: ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor {
        Thread(it).apply { isDaemon = true }
    }
    private val startedNs = System.nanoTime()

    /** Starts to serve [service] on [port] and to advance simulated time. */
    fun start(port: Int, service: SimService) {
        bind(LOOPBACK, port, service)
        executor.scheduleAtFixedRate(::advance, STEP_MS, STEP_MS, TimeUnit.MILLISECONDS)
    }

    /** Serves [service] at [host] and [port]. */
    fun bind(host: String, port: Int, service: SimService) {
        HttpServer(network, outbox, ConnectionQuotas.of(MAX_SOCKETS), IDLE_TIMEOUT_S) { handle(it, service) }.bind(host, port)
    }

    /** Runs [block] on the simulation's thread. */
    fun post(block: () -> Unit) {
        executor.execute {
            block()
            outbox.flush()
        }
    }

    /** Runs [block] on the simulation's thread, waits for it and returns its value. */
    fun <T> call(block: () -> T): T = executor.submit<T>(block).get()

    private fun advance() {
        val elapsedS = (System.nanoTime() - startedNs) / SimLoop.SECOND.toDouble()
        loop.after(0) { }
        loop.runUntil(1.0 + elapsedS)
        outbox.flush()
    }

    private fun handle(request: Request, service: SimService) = post {
        service.serve(request) { response -> request.responder.send(response.status, Body(response.body, Body.CBOR), null) }
    }

    companion object {
        const val LOOPBACK = "127.0.0.1"
        const val MAX_SOCKETS = 200
        private const val STEP_MS = 5L
        private const val IDLE_TIMEOUT_S = 3_600.0
    }
}

/** The request target: the path with its query, as the simulated services expect it. */
val Request.target: String get() = if (query.isEmpty()) path else "$path?$query"
