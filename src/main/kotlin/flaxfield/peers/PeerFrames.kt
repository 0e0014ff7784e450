package flaxfield.peers

import flaxfield.codec.Cbor
import flaxfield.codec.MalformedException
import okio.Buffer
import okio.utf8Size

/** Encodes and decodes the frames of peer messages: a length, a kind and the fields. */
object PeerFrames {
    private const val KIND_HEARTBEAT = 1
    private const val KIND_FORWARDED_HEARTBEAT = 2
    private const val KIND_FORWARDED_RESPONSE = 3
    private const val LENGTH_BYTES = 4L

    /** A forwarded heartbeat contains at most a request body and a few small fields. */
    private const val MAX_FRAME_BYTES = 80 * 1024

    /** Encodes [message] as one frame. */
    fun encode(message: PeerMessage): ByteArray {
        val body = Buffer()
        when (message) {
            is PeerMessage.PeerHeartbeat ->
                body
                    .writeByte(KIND_HEARTBEAT)
                    .write(Cbor.encode(mapOf("from" to message.from, "age" to message.storeResponseAgeMs)))
            is PeerMessage.ForwardedHeartbeat ->
                body
                    .writeByte(KIND_FORWARDED_HEARTBEAT)
                    .writeLong(message.id)
                    .writeInt(message.from.utf8Size().toInt())
                    .writeUtf8(message.from)
                    .write(message.heartbeat)
            is PeerMessage.ForwardedResponse ->
                body
                    .writeByte(KIND_FORWARDED_RESPONSE)
                    .writeLong(message.id)
                    .writeInt(message.status)
                    .write(message.body)
        }
        val frame = Buffer().writeInt(body.size.toInt())
        frame.write(body, body.size)
        return frame.readByteArray()
    }

    /**
     * Consumes and decodes the next frame from [input]; returns null if it is still incomplete.
     *
     * @throws MalformedException if the frame is invalid
     */
    fun next(input: Buffer): PeerMessage? {
        if (input.size < LENGTH_BYTES) return null
        val length = input.peek().readInt()
        if (length !in 1..MAX_FRAME_BYTES) throw MalformedException("invalid frame length: $length bytes")
        if (input.size < LENGTH_BYTES + length) return null
        input.readInt()
        val body = Buffer()
        body.write(input, length.toLong())
        return decode(body)
    }

    private fun decode(body: Buffer): PeerMessage = when (val kind = body.readByte().toInt()) {
        KIND_HEARTBEAT -> heartbeat(body)
        KIND_FORWARDED_HEARTBEAT -> forwardedHeartbeat(body)
        KIND_FORWARDED_RESPONSE ->
            PeerMessage.ForwardedResponse(body.readLong(), body.readInt(), body.readByteArray())
        else -> throw MalformedException("unknown frame kind: $kind")
    }

    private fun heartbeat(body: Buffer): PeerMessage {
        val fields = Cbor.decode(body.readByteArray())
        return PeerMessage.PeerHeartbeat(fields.requireText("from"), fields.requireUnsigned("age").toLong())
    }

    private fun forwardedHeartbeat(body: Buffer): PeerMessage {
        val id = body.readLong()
        val nameBytes = body.readInt()
        if (nameBytes < 0 || nameBytes > body.size) throw MalformedException("invalid name length: $nameBytes bytes")
        return PeerMessage.ForwardedHeartbeat(body.readUtf8(nameBytes.toLong()), id, body.readByteArray())
    }
}
