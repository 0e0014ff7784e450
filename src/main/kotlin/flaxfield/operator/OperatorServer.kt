package flaxfield.operator

import flaxfield.settings.Address
import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** The gRPC server for operators. Its address and threads are separate from those for users and workers. */
class OperatorServer(address: Address, service: OperatorService) {
    private val loop = NioEventLoopGroup(1)
    private val executor = Executors.newFixedThreadPool(THREADS) { Thread(it, "operator").apply { isDaemon = true } }
    private val server: Server = NettyServerBuilder
        .forAddress(InetSocketAddress(address.host, address.port))
        .bossEventLoopGroup(loop)
        .workerEventLoopGroup(loop)
        .channelType(NioServerSocketChannel::class.java)
        .executor(executor)
        .maxInboundMessageSize(MAX_REQUEST_BYTES)
        .maxConcurrentCallsPerConnection(CALLS_PER_CONNECTION)
        .addService(service)
        .build()

    /** Binds the address and starts to serve; throws [IOException] if the address cannot be bound. */
    @Throws(IOException::class)
    fun start() {
        server.start()
    }

    /** Accepts no more calls, waits up to [timeoutMs] for calls in progress and then cancels them. */
    fun stop(timeoutMs: Long) {
        server.shutdown()
        server.awaitTermination(timeoutMs, TimeUnit.MILLISECONDS)
        server.shutdownNow()
    }

    private companion object {
        /**
         * Reads are short iterations over a snapshot; more threads would compete with the owner thread for CPU time.
         */
        const val THREADS = 2

        /** Enough for a selector with several thousand machine names. */
        const val MAX_REQUEST_BYTES = 128 * 1024
        const val CALLS_PER_CONNECTION = 16
    }
}
