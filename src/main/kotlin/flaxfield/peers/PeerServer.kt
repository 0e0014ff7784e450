package flaxfield.peers

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel

/** Accepts connections from peers on `internal_addr`. Each message comes with a function that replies to it. */
class PeerServer(
    private val loop: EventLoopGroup,
    private val onMessage: (PeerMessage, (PeerMessage) -> Unit) -> Unit,
) {
    /** Binds to [host] and [port]; returns when the server is listening. */
    fun bind(host: String, port: Int): Channel = ServerBootstrap()
        .group(loop)
        .channelFactory { NioServerSocketChannel() }
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                channel.pipeline().addLast(PeerFrameHandler(onMessage))
            }
        })
        .bind(host, port).sync().channel()
}
