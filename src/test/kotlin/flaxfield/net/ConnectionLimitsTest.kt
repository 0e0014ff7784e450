package flaxfield.net

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Workers and users of the last controller left must not exhaust `fd_limit` together. */
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
    fun `shares of the smallest and the largest limits leave room for a worker each and for ourselves`() {
        for ((sockets, machines) in listOf(1667 to 1480, 3057 to 1662, 1200 to 1071)) {
            val s = ConnectionQuotas.of(sockets)
            assertTrue(s.incoming - s.reservedForUsers >= machines, "$sockets sockets, $machines machines: $s")
            assertTrue(s.incoming + s.directCommands + 24 <= sockets, "$s")
        }
        assertEquals(1, ConnectionQuotas.of(1).incoming)
    }

    @Test
    fun `users have their part, and idle ones of them make way`() {
        for (k in 1..4) assertTrue(user("u$k"))
        connections.responseSent("u2")
        assertTrue(user("u5"), "u2 is idle and makes way")
        assertEquals(listOf("u2"), closed)
        assertFalse(user("u6"), "the others wait for an answer")
        assertEquals(4, connections.users)
    }

    @Test
    fun `workers come before users when the limit is near`() {
        for (k in 1..4) user("u$k")
        for (k in 1..4) connections.responseSent("u$k")
        for (k in 1..10) assertTrue(worker("w$k"), "w$k")
        assertEquals(10, connections.size)
        assertFalse(worker("w11"), "nobody is left to make way")
        assertEquals(listOf("u1", "u2", "u3", "u4"), closed)
    }

    @Test
    fun `what is silent for too long is closed`() {
        worker("w1", 10)
        worker("w2", 20)
        user("u1", 30)
        connections.requestReceived("w1", isUser = false, 40)
        connections.closeIdle(35)
        assertEquals(listOf("w2", "u1"), closed)
        assertEquals(1, connections.size)
        assertEquals(0, connections.users)
    }
}
