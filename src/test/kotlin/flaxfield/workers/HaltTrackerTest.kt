package flaxfield.workers

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class HaltTrackerTest {
    private fun heartbeat(sequenceNumber: Int, incarnation: Int = 1) = Heartbeat(
        "h",
        "10.0.0.1:1",
        "big",
        "a",
        false,
        incarnation.toULong(),
        sequenceNumber.toULong(),
        7uL,
        null,
        emptyList(),
    )

    @Test
    fun `reports ignored halts only after repeated halts without effect`() {
        val halt = WorkerCommand.Halt("job-1", 0, 1uL, 0.0)
        val other = WorkerCommand.Halt("job-1", 1, 1uL, 0.0)
        val table = listOf(
            Triple(
                "task ended after one halt",
                listOf(heartbeat(1) to listOf(halt), heartbeat(2) to emptyList()),
                false,
            ),
            Triple("two responses lost", (1..3).map { heartbeat(it) to listOf(halt) }, false),
            Triple("halts without effect", (1..4).map { heartbeat(it) to listOf(halt) }, true),
            Triple(
                "a different task each time",
                (1..8).map { heartbeat(it) to listOf(if (it % 2 == 0) halt else other) },
                false,
            ),
            Triple("duplicates of one heartbeat", List(9) { heartbeat(1) to listOf(halt) }, false),
            Triple(
                "a new incarnation each time",
                (1..9).map { heartbeat(1, incarnation = it) to listOf(halt) },
                false,
            ),
        )
        for ((case, heartbeats, expected) in table) {
            val tracker = heartbeats.fold(HaltTracker()) { before, (heartbeat, halts) ->
                before.afterResponse(heartbeat, halts)
            }
            assertEquals(expected, tracker.haltsAreIgnored, case)
        }
    }
}
