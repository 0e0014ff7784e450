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

/** An answer from another component. A request without one may or may not have been executed. */
class Response(val status: Int, val body: ByteArray)

/** Sends requests to one endpoint; [send]'s callback gets null when there was no answer in time. */
fun interface HttpTransport {
    fun send(method: String, path: String, body: ByteArray?, timeoutMs: Long, done: (Response?) -> Unit)
}

/**
 * A client for one endpoint, with kept-open connections and one request at a time on each.
 * All of it runs on the event loop; the callback gets null when there was no answer in time.
 */
class HttpClient(
    private val loop: EventLoopGroup,
    private val out: OutboundQueue,
    private val address: Address,
    private val most: Int,
    private val waitingMost: Int = most * WAITING_PER_CONNECTION,
    private val maxAnswer: Int = MAX_ANSWER,
    /** Whether a connection stays open after an answer. */
    private val keep: Boolean = true,
) : HttpTransport {
    private class Call(
        val method: String,
        val path: String,
        val body: ByteArray?,
        val timeoutMs: Long,
        val done: (Response?) -> Unit,
    ) {
        var over = false
        var timer: ScheduledFuture<*>? = null
        var line: Line? = null
    }

    private class Line {
        var channel: Channel? = null
        var call: Call? = null
    }

    private val executor = loop.next()
    private val idle = ArrayDeque<Line>()
    private val waiting = ArrayDeque<Call>()
    private var lines = 0

    /** Sends one request; [done] is called once, on the event loop. */
    override fun send(method: String, path: String, body: ByteArray?, timeoutMs: Long, done: (Response?) -> Unit) {
        out.add { start(Call(method, path, body, timeoutMs, done)) }
    }

    private fun start(call: Call) {
        call.timer = executor.schedule({ timeout(call) }, call.timeoutMs, TimeUnit.MILLISECONDS)
        val line = idle.removeLastOrNull()
        when {
            line != null -> write(line, call)
            lines < most -> connect(call)
            waiting.size < waitingMost -> waiting.addLast(call)
            else -> finish(call, null)
        }
    }

    private fun connect(call: Call) {
        val line = Line()
        lines++
        line.call = call
        call.line = line
        Bootstrap().group(loop).channelFactory { NioSocketChannel() }
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, call.timeoutMs.toInt().coerceAtMost(CONNECT_MS))
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(ch: SocketChannel) {
                    ch.pipeline().addLast(
                        HttpClientCodec(Headers.decoder(), false, false),
                        HttpObjectAggregator(maxAnswer),
                        Handler(line),
                    )
                }
            })
            .connect(address.host, address.port)
            .addListener { future ->
                if (future.isSuccess) {
                    val channel = (future as ChannelFuture).channel()
                    line.channel = channel
                    channel.closeFuture().addListener { lost(line) }
                    val pending = line.call
                    if (pending == null || pending.over) channel.close() else write(line, pending)
                } else {
                    lost(line)
                }
            }
    }

    private fun write(line: Line, call: Call) {
        line.call = call
        call.line = line
        val content = if (call.body == null) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(call.body)
        val request = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(call.method),
            call.path,
            content,
            Headers.unchecked,
            Headers.unchecked,
        )
        request.headers().set(HttpHeaderNames.HOST, address.toString())
        if (call.body != null) {
            request.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, Body.CBOR)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, call.body.size)
        }
        if (!keep) request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        line.channel?.writeAndFlush(request)
    }

    /** A request given up on closes its connection: a late answer must not be taken for the next one's. */
    private fun timeout(call: Call) {
        if (call.over) return
        waiting.remove(call)
        val line = call.line
        finish(call, null)
        line?.channel?.close()
    }

    private fun lost(line: Line) {
        idle.remove(line)
        lines--
        val call = line.call
        line.call = null
        if (call != null) finish(call, null)
        next()
    }

    private fun next() {
        while (waiting.isNotEmpty()) {
            val line = idle.removeLastOrNull()
            if (line != null) {
                write(line, waiting.removeFirst())
            } else if (lines < most) {
                connect(waiting.removeFirst())
            } else {
                return
            }
        }
    }

    private fun finish(call: Call, answer: Response?) {
        if (call.over) return
        call.over = true
        call.timer?.cancel(false)
        call.done(answer)
    }

    private inner class Handler(private val line: Line) : SimpleChannelInboundHandler<FullHttpResponse>() {
        override fun channelRead0(ctx: ChannelHandlerContext, msg: FullHttpResponse) {
            val call = line.call ?: return
            line.call = null
            val answer = Response(msg.status().code(), ByteBufUtil.getBytes(msg.content()))
            if (keep && HttpUtil.isKeepAlive(msg) && ctx.channel().isActive) idle.addLast(line) else ctx.close()
            finish(call, answer)
            next()
        }

        @Deprecated("Netty's name for it")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            ctx.close()
        }
    }

    private companion object {
        const val WAITING_PER_CONNECTION = 8
        const val CONNECT_MS = 2_000

        /** A watch's answer has no size limit of its own; this one keeps a flood from ending the process. */
        const val MAX_ANSWER = 8 * 1024 * 1024
    }
}
