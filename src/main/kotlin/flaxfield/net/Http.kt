package flaxfield.net

import flaxfield.NANOS_PER_SECOND
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/**
 * One request as the network thread saw it; [responder] may be used once, by the owner thread or the network thread.
 */
class Request(
    val method: String,
    val path: String,
    val query: String,
    val body: ByteArray,
    /** Whether whoever asked still waits: a request that was given up on needs no answer, nor the work for one. */
    val waits: () -> Boolean = { true },
    val responder: Responder,
)

/** An answer's body and its type. */
class Body(val bytes: ByteArray, val type: String) {
    companion object {
        const val CBOR = "application/cbor"
        val EMPTY = Body(ByteArray(0), CBOR)
    }
}

/** Where a request's answer goes. */
fun interface Responder {
    fun send(status: Int, body: Body, retryAfterS: Int?)
}

/**
 * Passes on the first answer only. On a kept connection a second one would be taken for the next request's, and a
 * user would be told of the past: whoever answers twice has a defect, which must not reach the other side.
 */
class SingleUseResponder(private val responder: Responder) : Responder {
    private var used = false

    override fun send(status: Int, body: Body, retryAfterS: Int?) {
        if (used) return log.error("answered twice, with {} the second time", status)
        used = true
        responder.send(status, body, retryAfterS)
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.net")
    }
}

/**
 * The HTTP server of `serve_on`: decodes, hands over, encodes. It decides nothing but which connections stay
 * open; one that has been silent for [idleS] is closed.
 */
class HttpServer(
    private val loop: EventLoopGroup,
    private val out: OutboundQueue,
    private val shares: ConnectionQuotas,
    private val idleS: Double,
    private val onRequest: (Request) -> Unit,
) {
    private val connections = ConnectionLimits<Channel>(shares) { it.close() }

    fun bind(host: String, port: Int): Channel {
        val idleNs = (idleS * NANOS_PER_SECOND).toLong()
        val look = (idleNs * LOOK_SHARE).toLong()
        loop.next().scheduleWithFixedDelay({
            connections.reap(System.nanoTime() - idleNs)
        }, look, look, TimeUnit.NANOSECONDS)
        return ServerBootstrap()
            .group(loop)
            .channelFactory { NioServerSocketChannel() }
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, shares.backlog)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(ch: SocketChannel) {
                    ch.pipeline().addLast(HttpServerCodec(Headers.decoder()), HttpObjectAggregator(MAX_BODY), Handler())
                }
            })
            .bind(host, port).sync().channel()
    }

    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelActive(ctx: ChannelHandlerContext) {
            if (!connections.entered(ctx.channel(), System.nanoTime())) ctx.close()
        }

        override fun channelInactive(ctx: ChannelHandlerContext) = connections.left(ctx.channel())

        override fun channelRead0(ctx: ChannelHandlerContext, msg: FullHttpRequest) {
            val keep = HttpUtil.isKeepAlive(msg)
            val responder = SingleUseResponder { status, body, retryAfterS ->
                out.add {
                    connections.answered(ctx.channel())
                    answer(ctx, keep, status, body, retryAfterS)
                }
            }
            if (!connections.asked(ctx.channel(), msg.uri().startsWith(USERS_PATH), System.nanoTime())) {
                return answer(ctx, false, HttpResponseStatus.SERVICE_UNAVAILABLE.code(), Body.EMPTY, RETRY_S)
            }
            if (!msg.decoderResult().isSuccess) {
                answer(ctx, false, HttpResponseStatus.BAD_REQUEST.code(), Body.EMPTY, null)
                return
            }
            val uri = msg.uri()
            val at = uri.indexOf('?')
            val path = if (at < 0) uri else uri.substring(0, at)
            val query = if (at < 0) "" else uri.substring(at + 1)
            val channel = ctx.channel()
            onRequest(
                Request(msg.method().name(), path, query, ByteBufUtil.getBytes(msg.content()), {
                    channel.isActive
                }, responder),
            )
        }

        @Deprecated("Netty's name for it")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            log.debug("connection closed: {}", cause.toString())
            ctx.close()
        }
    }

    private fun answer(ctx: ChannelHandlerContext, keep: Boolean, status: Int, body: Body, retryAfterS: Int?) {
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(body.bytes),
            Headers.unchecked,
            Headers.unchecked,
        )
        response.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, body.type)
            .setInt(HttpHeaderNames.CONTENT_LENGTH, body.bytes.size)
        if (retryAfterS != null) response.headers().setInt(HttpHeaderNames.RETRY_AFTER, retryAfterS)
        if (!keep) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        val sent = ctx.writeAndFlush(response)
        if (!keep) sent.addListener(ChannelFutureListener.CLOSE)
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.net")
        const val MAX_BODY = 64 * 1024

        /** Whoever asks here is a user; workers and the load balancer's probes ask elsewhere. */
        const val USERS_PATH = "/work"
        const val RETRY_S = 1

        /** How often silent connections are looked for, as a share of the time they are given. */
        const val LOOK_SHARE = 0.25
    }
}
