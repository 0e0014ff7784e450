package flaxfield.net

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against the failure that workers and users together exhaust `fd_limit` when only one controller is left. */
class ConnectionLimitsTest {
    private val closed = ArrayList<String>()
    private val connections =
        ConnectionLimits<String>(
            ConnectionQuotas(incoming = 10, users = 4, reservedForUsers = 2, directCommands = 1, backlog = 5),
        ) {
            closed += it
        }

    private fun worker(name: String, now: Long = 0) =
        connections.opened(name, now) && connections.requestReceived(name, isUser = false, now)

    private fun user(name: String, now: Long = 0) = connections.opened(name, now) && connections.requestReceived(name, isUser = true, now)

    @Test
    fun `quotas leave a connection for each machine's worker and sockets for the process itself`() {
        for ((sockets, machines) in listOf(1667 to 1480, 3057 to 1662, 1200 to 1071)) {
            val quotas = ConnectionQuotas.of(sockets)
            assertTrue(
                quotas.incoming - quotas.reservedForUsers >= machines,
                "$sockets sockets, $machines machines: $quotas",
            )
            assertTrue(quotas.incoming + quotas.directCommands + 24 <= sockets, "$quotas")
        }
        assertEquals(1, ConnectionQuotas.of(1).incoming)
    }

    @Test
    fun `a new user replaces an idle one, and is rejected if no user is idle`() {
        for (k in 1..4) assertTrue(user("u$k"))
        connections.responseSent("u2")
        assertTrue(user("u5"), "u2 is idle and is closed")
        assertEquals(listOf("u2"), closed)
        assertFalse(user("u6"), "the other users wait for a response")
        assertEquals(4, connections.userCount)
    }

    @Test
    fun `workers replace idle users at the connection limit`() {
        for (k in 1..4) user("u$k")
        for (k in 1..4) connections.responseSent("u$k")
        for (k in 1..10) assertTrue(worker("w$k"), "w$k")
        assertEquals(10, connections.size)
        assertFalse(worker("w11"), "no idle user is left to close")
        assertEquals(listOf("u1", "u2", "u3", "u4"), closed)
    }

    @Test
    fun `closes connections that have been idle for too long`() {
        worker("w1", 10)
        worker("w2", 20)
        user("u1", 30)
        connections.requestReceived("w1", isUser = false, 40)
        connections.closeIdle(35)
        assertEquals(listOf("w2", "u1"), closed)
        assertEquals(1, connections.size)
        assertEquals(0, connections.userCount)
    }
}
