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

/** Takes one request of a controller and answers it at once or later. */
fun interface StandIn {
    fun serve(request: Request, answer: (Response) -> Unit)
}

/** Stand-ins of the simulation, driven by the wall clock and reached over HTTP on loopback. All run on one thread. */
class StandInServer {
    val network = NioEventLoopGroup(1)
    val outbox = OutboundQueue(network.next())
    val loop = SimLoop(seed = 1)
    private val thread: ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor {
        Thread(it).apply {
            isDaemon =
                true
        }
    }
    private val startedNs = System.nanoTime()

    /** Serves on [port] from now on, and lets simulated time follow the wall clock. */
    fun start(port: Int, standIn: StandIn) {
        HttpServer(network, outbox, ConnectionQuotas.of(SOCKETS), IDLE_S) { received(it, standIn) }.bind(LOOPBACK, port)
        thread.scheduleAtFixedRate(::step, STEP_MS, STEP_MS, TimeUnit.MILLISECONDS)
    }

    /** Runs [block] on the stand-ins' thread. */
    fun post(block: () -> Unit) {
        thread.execute {
            block()
            outbox.flush()
        }
    }

    /** The value of [block], which runs on the stand-ins' thread. */
    fun <T> ask(block: () -> T): T = thread.submit<T>(block).get()

    private fun step() {
        val elapsedS = (System.nanoTime() - startedNs) / SimLoop.SECOND.toDouble()
        loop.after(0) { }
        loop.runUntil(1.0 + elapsedS)
        outbox.flush()
    }

    private fun received(request: Request, standIn: StandIn) = post {
        standIn.serve(request) { answer -> request.responder.send(answer.status, Body(answer.body, Body.CBOR), null) }
    }

    companion object {
        const val LOOPBACK = "127.0.0.1"
        const val SOCKETS = 200
        private const val STEP_MS = 5L
        private const val IDLE_S = 3_600.0
    }
}

/** A request's path with its query, as the simulation's stand-ins take it. */
val Request.target: String get() = if (query.isEmpty()) path else "$path?$query"
