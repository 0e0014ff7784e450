package flaxfield.net

import flaxfield.settings.Address
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * An HTTP client for one endpoint, with a connection pool and a bounded queue of requests that wait for a connection.
 * Each connection carries one request at a time. Runs on the event loop, which also calls the callbacks.
 */
class HttpClient(
    private val loop: EventLoopGroup,
    private val outbound: OutboundQueue,
    private val address: Address,
    private val maxConnections: Int,
    private val maxQueued: Int = maxConnections * QUEUED_PER_CONNECTION,
    private val maxResponseBytes: Int = MAX_RESPONSE_BYTES,
    /** Whether a connection stays open after a response. */
    private val keepAlive: Boolean = true,
) : HttpTransport {
    /** A request whose callback has not been called yet. */
    private class PendingRequest(
        val method: String,
        val path: String,
        val body: ByteArray?,
        val timeoutMs: Long,
        val done: (Response?) -> Unit,
    ) {
        var isFinished = false
        var timer: ScheduledFuture<*>? = null
        var connection: Connection? = null
    }

    /** A pooled connection. [channel] is null until it is connected, and [request] is null while it is idle. */
    private class Connection {
        var channel: Channel? = null
        var request: PendingRequest? = null
    }

    private val executor = loop.next()
    private val idle = ArrayDeque<Connection>()
    private val queued = ArrayDeque<PendingRequest>()
    private var connections = 0

    override fun send(method: String, path: String, body: ByteArray?, timeoutMs: Long, done: (Response?) -> Unit) {
        outbound.add { start(PendingRequest(method, path, body, timeoutMs, done)) }
    }

    private fun start(request: PendingRequest) {
        request.timer = executor.schedule({ timeOut(request) }, request.timeoutMs, TimeUnit.MILLISECONDS)
        val connection = idle.removeLastOrNull()
        when {
            connection != null -> write(connection, request)
            connections < maxConnections -> connect(request)
            queued.size < maxQueued -> queued.addLast(request)
            else -> finish(request, null)
        }
    }

    /** Opens a connection and sends [request] on it. */
    private fun connect(request: PendingRequest) {
        val connection = Connection()
        connections++
        connection.request = request
        request.connection = connection
        Bootstrap().group(loop).channelFactory { NioSocketChannel() }
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, request.timeoutMs.toInt().coerceAtMost(CONNECT_TIMEOUT_MS))
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(
                        HttpClientCodec(Headers.decoder(), false, false),
                        HttpObjectAggregator(maxResponseBytes),
                        ResponseHandler(connection),
                    )
                }
            })
            .connect(address.host, address.port)
            .addListener { future ->
                if (future.isSuccess) {
                    connected(connection, (future as ChannelFuture).channel())
                } else {
                    disconnected(connection)
                }
            }
    }

    private fun connected(connection: Connection, channel: Channel) {
        connection.channel = channel
        channel.closeFuture().addListener { disconnected(connection) }
        val request = connection.request
        if (request == null || request.isFinished) channel.close() else write(connection, request)
    }

    private fun write(connection: Connection, request: PendingRequest) {
        connection.request = request
        request.connection = connection
        connection.channel?.writeAndFlush(message(request))
    }

    private fun message(request: PendingRequest): DefaultFullHttpRequest {
        val body = request.body
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method),
            request.path,
            if (body == null) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(body),
            Headers.unchecked,
            Headers.unchecked,
        )
        message.headers().set(HttpHeaderNames.HOST, address.toString())
        if (body != null) {
            message.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, Body.CBOR)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, body.size)
        }
        if (!keepAlive) message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        return message
    }

    /**
     * Fails [request] and closes its connection, so that a late response is not mistaken for that of the next request.
     */
    private fun timeOut(request: PendingRequest) {
        if (request.isFinished) return
        queued.remove(request)
        val connection = request.connection
        finish(request, null)
        connection?.channel?.close()
    }

    private fun disconnected(connection: Connection) {
        idle.remove(connection)
        connections--
        val request = connection.request
        connection.request = null
        if (request != null) finish(request, null)
        sendQueued()
    }

    private fun sendQueued() {
        while (queued.isNotEmpty()) {
            val connection = idle.removeLastOrNull()
            if (connection != null) {
                write(connection, queued.removeFirst())
            } else if (connections < maxConnections) {
                connect(queued.removeFirst())
            } else {
                return
            }
        }
    }

    private fun finish(request: PendingRequest, response: Response?) {
        if (request.isFinished) return
        request.isFinished = true
        request.timer?.cancel(false)
        request.done(response)
    }

    private inner class ResponseHandler(private val connection: Connection) :
        SimpleChannelInboundHandler<FullHttpResponse>() {
        override fun channelRead0(ctx: ChannelHandlerContext, message: FullHttpResponse) {
            val request = connection.request ?: return
            connection.request = null
            val response = Response(message.status().code(), ByteBufUtil.getBytes(message.content()))
            if (keepAlive && HttpUtil.isKeepAlive(message) && ctx.channel().isActive) {
                idle.addLast(connection)
            } else {
                ctx.close()
            }
            finish(request, response)
            sendQueued()
        }

        @Deprecated("overrides a method that Netty deprecates")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            // Closing the channel completes its request without a response; callers do not need the cause.
            ctx.close()
        }
    }

    private companion object {
        const val QUEUED_PER_CONNECTION = 8
        const val CONNECT_TIMEOUT_MS = 2_000

        /** Bounds the memory of a response, since the protocol does not limit the response to a watch. */
        const val MAX_RESPONSE_BYTES = 8 * 1024 * 1024
    }
}
