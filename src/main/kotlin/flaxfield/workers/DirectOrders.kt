package flaxfield.workers

import flaxfield.codec.MalformedException
import flaxfield.codec.Wire
import flaxfield.net.Calls
import flaxfield.settings.Address

/** Sends `/do` to workers: halts and epoch pushes only, since such a command may be executed late. */
class DirectOrders(private val timeoutMs: Long, private val connect: (Address) -> Calls) {
    private val clients = LinkedHashMap<String, Calls>()

    /** The answer is not used: a report by `/do` may be older than a launch on its way. */
    fun send(address: String, message: Map<String, Any?>) {
        val client = clients[address] ?: open(address) ?: return
        client.send("POST", "/do", Wire.encode(message), timeoutMs) { }
    }

    private fun open(address: String): Calls? {
        val parsed = try {
            Address.parse(address)
        } catch (e: MalformedException) {
            return null
        }
        if (clients.size >= MOST) clients.remove(clients.keys.first())
        return connect(parsed).also { clients[address] = it }
    }

    fun forget(address: String) {
        clients.remove(address)
    }

    private companion object {
        const val MOST = 256
    }
}
