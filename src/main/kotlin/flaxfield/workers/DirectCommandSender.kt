package flaxfield.workers

import flaxfield.codec.Cbor
import flaxfield.codec.MalformedException
import flaxfield.net.HttpTransport
import flaxfield.settings.Address

/**
 * Sends `/do` to workers: halts and epoch pushes only, since such a command may be executed late. Each goes on a
 * connection of its own, at most [most] at once: kept open, those to workers of the past took up the sockets that
 * others report on. What finds no place is not sent: reports get the same orders, and silent workers are pushed again.
 */
class DirectCommandSender(
    private val timeoutMs: Long,
    private val most: Int,
    private val connect: (Address) -> HttpTransport,
) {
    private var underWay = 0

    /**
     * The answer is not used: a report by `/do` may be older than a launch on its way. [post] leads back to the owner.
     */
    fun send(address: String, message: Map<String, Any?>, post: (() -> Unit) -> Unit): Boolean {
        if (underWay >= most) return false
        val parsed = try {
            Address.parse(address)
        } catch (e: MalformedException) {
            return false
        }
        underWay++
        connect(parsed).send("POST", "/do", Cbor.encode(message), timeoutMs) { post { underWay-- } }
        return true
    }
}
