package flaxfield.workers

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** A machine whose heartbeats arrive but that receives no responses looks alive and starts no tasks. */
class ResponseReachabilityTest {
    private val leaseNs = 12e9
    private val launch = WorkerCommand.Launch("job-1", 0, 1uL)

    private fun heartbeat(incarnation: Int = 1, fencingToken: Int = 7, hasTask: Boolean = false) = Heartbeat(
        "h", "10.0.0.1:1", "big", "a", false, incarnation.toULong(), 1uL, fencingToken.toULong(), null,
        if (hasTask) listOf(TaskStatus("job-1", 0, 1uL, TaskState.PULLING, null)) else emptyList(),
    )

    /**
     * Returns the number of missed responses after [heartbeats] that arrive every [intervalS] seconds, each answered
     * with the launch.
     */
    private fun missedResponses(heartbeats: List<Heartbeat>, intervalS: Double = 5.0): Int {
        var reachability = ResponseReachability()
        for ((number, heartbeat) in heartbeats.withIndex()) {
            val nowNs = ((number + 1) * intervalS * 1e9).toLong()
            reachability = reachability.afterHeartbeat(heartbeat, 7uL, nowNs, leaseNs)
                .afterResponse(heartbeat, 7uL, listOf(launch), nowNs)
        }
        return reachability.missedResponses
    }

    @Test
    fun `counts consecutive responses without effect`() {
        val table = listOf(
            Triple(
                "the launch takes effect",
                listOf(heartbeat(), heartbeat(hasTask = true), heartbeat(hasTask = true)),
                0,
            ),
            Triple("one response was lost", listOf(heartbeat(), heartbeat(), heartbeat(hasTask = true)), 0),
            Triple("no launch takes effect", List(3) { heartbeat() }, 2),
            Triple("the fencing token does not advance", List(5) { heartbeat(fencingToken = 6) }, 4),
            Triple(
                "the lease expires despite the responses",
                listOf(heartbeat(), heartbeat(), heartbeat(incarnation = 2), heartbeat(incarnation = 2)),
                4,
            ),
            Triple("the incarnation outlives a lease", List(5) { heartbeat() }, 0),
        )
        for ((case, heartbeats, expected) in table) assertEquals(expected, missedResponses(heartbeats), case)
        // A worker that gets no responses tries all controllers. Its owner receives a heartbeat only once in several
        // leases, each time from a newer incarnation, which proves the loss of its tasks.
        assertEquals(
            4,
            missedResponses(
                listOf(heartbeat(), heartbeat(incarnation = 3), heartbeat(incarnation = 5)),
                intervalS = 30.0,
            ),
        )
        // The partition is over: the worker gets responses again, and its incarnation lasts.
        assertEquals(
            0,
            missedResponses(
                listOf(heartbeat(), heartbeat(incarnation = 2)) + List(3) {
                    heartbeat(incarnation = 2)
                },
                intervalS = 8.0,
            ),
        )
        assertEquals(0, missedResponses(listOf(heartbeat(), heartbeat(incarnation = 2)), intervalS = 60.0))
        assertEquals(listOf(false, true), listOf(3, 4).map { ResponseReachability(missedResponses = it).isUnreachable })
    }

    @Test
    fun `a new term resets the count`() {
        val reachability =
            ResponseReachability().afterResponse(heartbeat(), 7uL, listOf(launch), 1).copy(missedResponses = 3)
        assertEquals(0, reachability.afterHeartbeat(heartbeat(fencingToken = 7), 8uL, 2, leaseNs).missedResponses)
    }
}
