package flaxfield.peers

import flaxfield.codec.Cbor
import flaxfield.codec.FieldMap
import flaxfield.codec.MalformedException
import flaxfield.net.OutboundQueue
import flaxfield.settings.Address
import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.util.ReferenceCountUtil
import okio.Buffer
import okio.utf8Size

/** What the service's own processes tell one another. All of it is a hint: nothing here decides. */
sealed interface PeerMessage {
    /** "I am alive; my last answer from the state service is this old." */
    data class PeerHeartbeat(val from: String, val stateAgeMs: Long) : PeerMessage

    /** A worker's report that reached a node which does not own its machine. */
    class ForwardedHeartbeat(val from: String, val id: Long, val heartbeat: ByteArray) : PeerMessage

    /** The owner's answer to a [ForwardedHeartbeat]. */
    class ForwardedResponse(val id: Long, val status: Int, val body: ByteArray) : PeerMessage
}

/** Frames of the peer link: a length, a kind and the fields, cut from Okio buffers. */
object PeerFrames {
    private const val PULSE = 1
    private const val RELAY = 2
    private const val RELAYED = 3
    private const val HEAD_BYTES = 4L

    /** A relayed report is at most a request body; the rest is small. */
    private const val MAX_FRAME = 80 * 1024

    fun encode(m: PeerMessage): ByteArray {
        val body = Buffer()
        when (m) {
            is PeerMessage.PeerHeartbeat -> {
                body.writeByte(PULSE)
                body.write(Cbor.encode(mapOf("from" to m.from, "age" to m.stateAgeMs)))
            }
            is PeerMessage.ForwardedHeartbeat -> {
                body.writeByte(
                    RELAY,
                ).writeLong(m.id).writeInt(m.from.utf8Size().toInt()).writeUtf8(m.from).write(m.heartbeat)
            }
            is PeerMessage.ForwardedResponse -> body.writeByte(RELAYED).writeLong(m.id).writeInt(m.status).write(m.body)
        }
        val frame = Buffer().writeInt(body.size.toInt())
        frame.write(body, body.size)
        return frame.readByteArray()
    }

    /** Takes the next whole frame from [input], or null if it is not all there yet. */
    fun next(input: Buffer): PeerMessage? {
        if (input.size < HEAD_BYTES) return null
        val size = input.peek().readInt()
        if (size !in 1..MAX_FRAME) throw MalformedException("frame of $size bytes")
        if (input.size < HEAD_BYTES + size) return null
        input.readInt()
        val body = Buffer()
        body.write(input, size.toLong())
        return when (val kind = body.readByte().toInt()) {
            PULSE -> {
                val o: FieldMap = Cbor.decode(body.readByteArray())
                PeerMessage.PeerHeartbeat(o.requireText("from"), o.requireUnsigned("age").toLong())
            }
            RELAY -> {
                val id = body.readLong()
                val length = body.readInt()
                if (length < 0 || length > body.size) throw MalformedException("name of $length bytes")
                PeerMessage.ForwardedHeartbeat(body.readUtf8(length.toLong()), id, body.readByteArray())
            }
            RELAYED -> PeerMessage.ForwardedResponse(body.readLong(), body.readInt(), body.readByteArray())
            else -> throw MalformedException("frame kind $kind")
        }
    }
}

/** Listens on `internal_addr`; each message comes with a way to answer on the same connection. */
class PeerServer(
    private val loop: EventLoopGroup,
    private val onMessage: (PeerMessage, (PeerMessage) -> Unit) -> Unit,
) {
    fun bind(host: String, port: Int): Channel = ServerBootstrap()
        .group(loop)
        .channelFactory { NioServerSocketChannel() }
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(ch: SocketChannel) {
                ch.pipeline().addLast(FrameReader(onMessage))
            }
        })
        .bind(host, port).sync().channel()
}

/** Sends messages to one peer; none is promised to arrive. */
fun interface PeerConnection {
    fun send(m: PeerMessage)
}

/** One outgoing connection to a peer, opened when needed; what can't be sent at once is dropped. */
class PeerClient(
    private val loop: EventLoopGroup,
    private val out: OutboundQueue,
    private val address: Address,
    private val onMessage: (PeerMessage) -> Unit,
) : PeerConnection {
    private var channel: Channel? = null
    private var connecting = false

    override fun send(m: PeerMessage) {
        out.add {
            val ch = channel
            if (ch != null && ch.isActive) {
                // A peer behind a cut does not read: hold little for it, and drop the rest.
                if (ch.isWritable) ch.writeAndFlush(Unpooled.wrappedBuffer(PeerFrames.encode(m)))
            } else {
                connect(m)
            }
        }
    }

    private fun connect(first: PeerMessage) {
        if (connecting) return
        connecting = true
        Bootstrap().group(loop).channelFactory { NioSocketChannel() }
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(ch: SocketChannel) {
                    ch.pipeline().addLast(FrameReader { m, _ -> onMessage(m) })
                }
            })
            .connect(address.host, address.port)
            .addListener { future ->
                connecting = false
                if (future.isSuccess) {
                    val ch = (future as ChannelFuture).channel()
                    channel = ch
                    ch.writeAndFlush(Unpooled.wrappedBuffer(PeerFrames.encode(first)))
                }
            }
    }

    private companion object {
        const val CONNECT_MS = 1_000
    }
}

private class FrameReader(private val onMessage: (PeerMessage, (PeerMessage) -> Unit) -> Unit) :
    ChannelInboundHandlerAdapter() {
    private val input = Buffer()

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        try {
            val bytes = msg as ByteBuf
            val copy = ByteArray(bytes.readableBytes())
            bytes.readBytes(copy)
            input.write(copy)
        } finally {
            ReferenceCountUtil.release(msg)
        }
        try {
            while (true) {
                val m = PeerFrames.next(input) ?: return
                onMessage(m) { answer -> ctx.writeAndFlush(Unpooled.wrappedBuffer(PeerFrames.encode(answer))) }
            }
        } catch (e: MalformedException) {
            ctx.close()
        }
    }

    @Deprecated("Netty's name for it")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }
}
