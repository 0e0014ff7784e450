package flaxfield.workers

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** A machine whose heartbeats arrive while responses do not reach it looks alive, and starts nothing. */
class ResponseReachabilityTest {
    private val leaseNs = 12e9
    private val launch = WorkerCommand.Launch("job-1", 0, 1uL)

    private fun heartbeat(incarnation: Int = 1, fencingToken: Int = 7, has: Boolean = false) = Heartbeat(
        "h", "10.0.0.1:1", "big", "a", false, incarnation.toULong(), 1uL, fencingToken.toULong(), null,
        if (has) listOf(TaskStatus("job-1", 0, 1uL, TaskState.PULLING, null)) else emptyList(),
    )

    /**
     * [heartbeats] arrive every [everyS] seconds; each is answered with the launch. Returns how many signs of lost
     * responses there are at the end.
     */
    private fun missed(heartbeats: List<Heartbeat>, everyS: Double = 5.0): Int {
        var reachability = ResponseReachability()
        for ((number, heartbeat) in heartbeats.withIndex()) {
            val nowNs = ((number + 1) * everyS * 1e9).toLong()
            reachability = reachability.reported(heartbeat, 7uL, nowNs, leaseNs)
                .answered(heartbeat, 7uL, listOf(launch), nowNs)
        }
        return reachability.missed
    }

    @Test
    fun `only a row of answers without any effect speaks against a worker`() {
        val table = listOf(
            Triple("the launch shows", listOf(heartbeat(), heartbeat(has = true), heartbeat(has = true)), 0),
            Triple("one answer was lost", listOf(heartbeat(), heartbeat(), heartbeat(has = true)), 0),
            Triple("no launch shows", List(3) { heartbeat() }, 2),
            Triple("the fencing token does not rise", List(5) { heartbeat(fencingToken = 6) }, 4),
            Triple(
                "its lease runs out under our answers",
                listOf(heartbeat(), heartbeat(), heartbeat(incarnation = 2), heartbeat(incarnation = 2)),
                4,
            ),
            Triple("it outlives a lease all the same", List(5) { heartbeat() }, 0),
        )
        for ((what, heartbeats, want) in table) assertEquals(want, missed(heartbeats), what)
        // A worker that gets no responses tries all controllers: its owner hears it once in several leases, each time
        // with a newer incarnation, which proves that its tasks have left.
        assertEquals(
            4,
            missed(listOf(heartbeat(), heartbeat(incarnation = 3), heartbeat(incarnation = 5)), everyS = 30.0),
        )
        // It was cut off, and gets responses again: its incarnation lasts.
        assertEquals(
            0,
            missed(
                listOf(heartbeat(), heartbeat(incarnation = 2)) + List(3) {
                    heartbeat(incarnation = 2)
                },
                everyS = 8.0,
            ),
        )
        assertEquals(0, missed(listOf(heartbeat(), heartbeat(incarnation = 2)), everyS = 60.0))
        assertEquals(listOf(false, true), listOf(3, 4).map { ResponseReachability(missed = it).isUnreachable })
    }

    @Test
    fun `a new term starts anew`() {
        val reachability = ResponseReachability().answered(heartbeat(), 7uL, listOf(launch), 1).copy(missed = 3)
        assertEquals(0, reachability.reported(heartbeat(fencingToken = 7), 8uL, 2, leaseNs).missed)
    }
}
