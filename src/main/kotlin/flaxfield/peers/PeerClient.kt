package flaxfield.peers

import flaxfield.net.OutboundQueue
import flaxfield.settings.Address
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel

/** Sends messages to one peer, without a guarantee of delivery. */
fun interface PeerConnection {
    /** Sends [message], or drops it if it cannot be sent at once. */
    fun send(message: PeerMessage)
}

/** The outgoing connection to one peer, opened on demand. Messages that cannot be sent at once are dropped. */
class PeerClient(
    private val loop: EventLoopGroup,
    private val out: OutboundQueue,
    private val address: Address,
    private val onMessage: (PeerMessage) -> Unit,
) : PeerConnection {
    private var channel: Channel? = null
    private var isConnecting = false

    override fun send(message: PeerMessage) {
        out.add {
            val open = channel?.takeIf { it.isActive }
            when {
                open == null -> connect(message)
                // Bounds the memory for messages to a peer that is unreachable and does not read them.
                open.isWritable -> write(open, message)
            }
        }
    }

    private fun write(channel: Channel, message: PeerMessage) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(PeerFrames.encode(message)))
    }

    /** Connects and sends [first]; drops it if a connection is already being opened. */
    private fun connect(first: PeerMessage) {
        if (isConnecting) return
        isConnecting = true
        Bootstrap().group(loop).channelFactory { NioSocketChannel() }
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(PeerFrameHandler { message, _ -> onMessage(message) })
                }
            })
            .connect(address.host, address.port)
            .addListener { future ->
                isConnecting = false
                if (future.isSuccess) {
                    val connected = (future as ChannelFuture).channel()
                    channel = connected
                    write(connected, first)
                }
            }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1_000
    }
}
