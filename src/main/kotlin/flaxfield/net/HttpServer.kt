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
 * The HTTP server on the `serve_on` address: decodes requests, passes them to [onRequest] and encodes responses. Limits
 * the number of open connections, and closes those without a request for [idleS]. Runs on the event loop.
 */
class HttpServer(
    private val loop: EventLoopGroup,
    private val outbound: OutboundQueue,
    quotas: ConnectionQuotas,
    private val idleS: Double,
    private val onRequest: (Request) -> Unit,
) {
    private val backlog = quotas.backlog
    private val connections = ConnectionLimits<Channel>(quotas) { it.close() }

    /** Binds the server to [host] and [port], and returns once it accepts connections. */
    fun bind(host: String, port: Int): Channel {
        scheduleIdleChecks()
        return ServerBootstrap()
            .group(loop)
            .channelFactory { NioServerSocketChannel() }
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, backlog)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(
                        HttpServerCodec(Headers.decoder()),
                        HttpObjectAggregator(MAX_BODY_BYTES),
                        RequestHandler(),
                    )
                }
            })
            .bind(host, port).sync().channel()
    }

    private fun scheduleIdleChecks() {
        val idleNs = (idleS * NANOS_PER_SECOND).toLong()
        val intervalNs = (idleNs * IDLE_CHECK_SHARE).toLong()
        val check = { connections.closeIdle(System.nanoTime() - idleNs) }
        loop.next().scheduleWithFixedDelay(check, intervalNs, intervalNs, TimeUnit.NANOSECONDS)
    }

    private inner class RequestHandler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelActive(ctx: ChannelHandlerContext) {
            if (!connections.opened(ctx.channel(), System.nanoTime())) ctx.close()
        }

        override fun channelInactive(ctx: ChannelHandlerContext) = connections.closed(ctx.channel())

        override fun channelRead0(ctx: ChannelHandlerContext, message: FullHttpRequest) {
            val keepAlive = HttpUtil.isKeepAlive(message)
            val responder = SingleUseResponder { status, body, retryAfterS ->
                outbound.add {
                    connections.responseSent(ctx.channel())
                    respond(ctx, keepAlive, status, body, retryAfterS)
                }
            }
            val target = message.uri()
            if (!connections.requestReceived(ctx.channel(), target.startsWith(USERS_PATH), System.nanoTime())) {
                return respond(ctx, false, HttpResponseStatus.SERVICE_UNAVAILABLE.code(), Body.EMPTY, RETRY_AFTER_S)
            }
            if (!message.decoderResult().isSuccess) {
                return respond(ctx, false, HttpResponseStatus.BAD_REQUEST.code(), Body.EMPTY, null)
            }
            onRequest(request(message, ctx.channel(), responder))
        }

        private fun request(message: FullHttpRequest, channel: Channel, responder: Responder): Request {
            val target = message.uri()
            val queryStart = target.indexOf('?')
            return Request(
                method = message.method().name(),
                path = if (queryStart < 0) target else target.substring(0, queryStart),
                query = if (queryStart < 0) "" else target.substring(queryStart + 1),
                body = ByteBufUtil.getBytes(message.content()),
                isClientWaiting = { channel.isActive },
                responder = responder,
            )
        }

        @Deprecated("overrides a method that Netty deprecates")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            log.debug("event=connection_failed reason=\"{}\"", cause.toString())
            ctx.close()
        }
    }

    private fun respond(ctx: ChannelHandlerContext, keepAlive: Boolean, status: Int, body: Body, retryAfterS: Int?) {
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
        if (!keepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        val sent = ctx.writeAndFlush(response)
        if (!keepAlive) sent.addListener(ChannelFutureListener.CLOSE)
    }

    private companion object {
        val log = LoggerFactory.getLogger("flaxfield.net")
        const val MAX_BODY_BYTES = 64 * 1024

        /** The path prefix of users' requests; workers and the load balancer's probes use other paths. */
        const val USERS_PATH = "/work"

        /** The `Retry-After` value of a response to a user that exceeds the connection limit. */
        const val RETRY_AFTER_S = 1

        /** The interval between checks for idle connections, as a share of the idle timeout. */
        const val IDLE_CHECK_SHARE = 0.25
    }
}
