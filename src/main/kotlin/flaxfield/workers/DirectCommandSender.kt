package flaxfield.workers

import flaxfield.codec.Cbor
import flaxfield.codec.MalformedException
import flaxfield.net.HttpTransport
import flaxfield.settings.Address

/**
 * Sends `/do` requests to workers. They carry only halts and the term, because such a request may be executed late.
 *
 * Each request uses its own connection: pooled connections to terminated machines would take up sockets that other
 * workers need for their heartbeats. At most [maxInFlight] requests are in flight. A request beyond that limit is not
 * sent, since the responses to heartbeats carry the same commands and the term is pushed again.
 */
class DirectCommandSender(
    private val timeoutMs: Long,
    private val maxInFlight: Int,
    private val connect: (Address) -> HttpTransport,
) {
    private var inFlight = 0

    /**
     * Sends [message] to the worker at [address] and returns whether it was sent. The response is ignored, because the
     * heartbeat in it may predate a launch that is in flight. [post] runs a callback on the owner thread.
     */
    fun send(address: String, message: Map<String, Any?>, post: (() -> Unit) -> Unit): Boolean {
        if (inFlight >= maxInFlight) return false
        val parsed = try {
            Address.parse(address)
        } catch (ignored: MalformedException) {
            // The worker itself reports its address, so an invalid one is not an error of this controller.
            return false
        }
        inFlight++
        connect(parsed).send("POST", "/do", Cbor.encode(message), timeoutMs) { post { inFlight-- } }
        return true
    }
}
