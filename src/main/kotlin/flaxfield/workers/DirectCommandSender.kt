package flaxfield.workers

import flaxfield.codec.Cbor
import flaxfield.codec.MalformedException
import flaxfield.net.HttpTransport
import flaxfield.settings.Address

/**
 * Sends `/do` to workers: halts and pushes of the term only, since such a command may be executed late. Each goes on a
 * connection of its own, at most [maxInFlight] at once: kept open, connections to machines that are gone would take up
 * sockets that other workers report on. A command beyond the limit is not sent: responses to heartbeats carry the same
 * commands, and a silent worker is sent the term again.
 */
class DirectCommandSender(
    private val timeoutMs: Long,
    private val maxInFlight: Int,
    private val connect: (Address) -> HttpTransport,
) {
    private var inFlight = 0

    /**
     * Sends [message] to the worker at [address]; false if it is not sent. The response is not used: its heartbeat may
     * be older than a launch on its way. [post] hands work to the owner thread.
     */
    fun send(address: String, message: Map<String, Any?>, post: (() -> Unit) -> Unit): Boolean {
        if (inFlight >= maxInFlight) return false
        val parsed = try {
            Address.parse(address)
        } catch (ignored: MalformedException) {
            // The worker reports its address itself: an invalid one means only that nothing can be sent there.
            return false
        }
        inFlight++
        connect(parsed).send("POST", "/do", Cbor.encode(message), timeoutMs) { post { inFlight-- } }
        return true
    }
}
