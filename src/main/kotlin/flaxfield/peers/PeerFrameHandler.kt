package flaxfield.peers

import flaxfield.codec.MalformedException
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil
import okio.Buffer

/** Decodes the byte stream of one connection into messages. Closes the connection on a malformed frame. */
internal class PeerFrameHandler(private val onMessage: (PeerMessage, (PeerMessage) -> Unit) -> Unit) :
    ChannelInboundHandlerAdapter() {
    private val input = Buffer()

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        try {
            val received = message as ByteBuf
            val bytes = ByteArray(received.readableBytes())
            received.readBytes(bytes)
            input.write(bytes)
        } finally {
            ReferenceCountUtil.release(message)
        }
        try {
            while (true) {
                val next = PeerFrames.next(input) ?: return
                onMessage(next) { response -> ctx.writeAndFlush(Unpooled.wrappedBuffer(PeerFrames.encode(response))) }
            }
        } catch (malformed: MalformedException) {
            // The stream cannot be resynchronized after a malformed frame. The peer reconnects.
            ctx.close()
        }
    }

    @Deprecated("deprecated in ChannelInboundHandlerAdapter")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        // Messages may be lost anyway. The next one opens a new connection.
        ctx.close()
    }
}
