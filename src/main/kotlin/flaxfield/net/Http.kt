package flaxfield.net

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

/** One request as the network thread saw it; [reply] may be used once, by the owner thread or the network thread. */
class Request(val method: String, val path: String, val query: String, val body: ByteArray, val reply: Reply)

/** An answer's body and its type. */
class Body(val bytes: ByteArray, val type: String) {
    companion object {
        const val CBOR = "application/cbor"
        val EMPTY = Body(ByteArray(0), CBOR)
    }
}

/** Where a request's answer goes. */
fun interface Reply {
    fun send(status: Int, body: Body, retryAfterS: Int?)
}

/** The HTTP server of `serve_on`: decodes, hands over, encodes. It decides nothing. */
class HttpServer(private val loop: EventLoopGroup, private val out: Outbox, private val onRequest: (Request) -> Unit) {
    fun bind(host: String, port: Int): Channel = ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(ch: SocketChannel) {
                ch.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAX_BODY), Handler())
            }
        })
        .bind(host, port).sync().channel()

    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(ctx: ChannelHandlerContext, msg: FullHttpRequest) {
            val keep = HttpUtil.isKeepAlive(msg)
            val reply = Reply { status, body, retryAfterS -> out.add { answer(ctx, keep, status, body, retryAfterS) } }
            if (!msg.decoderResult().isSuccess) {
                answer(ctx, false, HttpResponseStatus.BAD_REQUEST.code(), Body.EMPTY, null)
                return
            }
            val uri = msg.uri()
            val at = uri.indexOf('?')
            val path = if (at < 0) uri else uri.substring(0, at)
            val query = if (at < 0) "" else uri.substring(at + 1)
            onRequest(Request(msg.method().name(), path, query, ByteBufUtil.getBytes(msg.content()), reply))
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
        const val BACKLOG = 256
    }
}
