package flaxfield.controller

import flaxfield.net.Request
import flaxfield.net.Responder
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Heartbeats must not wait behind users' polls when all workers reconnect at once. */
class CommandQueueTest {
    private fun http(path: String) = Command.Http(Request("GET", path, "", ByteArray(0), responder = Responder { _, _, _ -> }))

    private fun kinds(batch: List<Command>) = batch.joinToString("") {
        when (it) {
            is Command.Run -> "o"
            is Command.Peer -> "p"
            is Command.Http -> if (it.request.path == "/hello") "w" else "u"
        }
    }

    @Test
    fun `each kind of command has its own capacity and priority`() {
        // Requests of users, heartbeats and follow-ups offered to a queue of capacity 10, and the first batch of 10.
        // Letters of a batch: o = follow-up, w = heartbeat, u = request of a user, p = message of a peer.
        val table = listOf(
            listOf(3, 3, 2) to "oowwwuuu",
            listOf(20, 20, 0) to "wwwwwwwwuu",
            listOf(20, 2, 0) to "wwuuuuu",
            listOf(0, 0, 30) to "oooooooooo",
            listOf(20, 20, 30) to "oooooooooouu",
        )
        for ((offered, batch) in table) {
            val queue = CommandQueue(10)
            val users = (1..offered[0]).count { queue.offer(http("/work/job-1")) }
            val workers = (1..offered[1]).count { queue.offer(http("/hello")) }
            repeat(offered[2]) { queue.addFollowUp(Command.Run { }) }
            assertEquals(minOf(5, offered[0]), users, "$offered")
            assertEquals(minOf(10, offered[1]), workers, "$offered")
            val taken = ArrayList<Command>()
            queue.take(taken, 10)
            assertEquals(batch, kinds(taken), "$offered")
        }
    }
}
