package flaxfield.workers

import flaxfield.settings.WorkerTimes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * A report was answered for 0.6 of `cancel_s` after the last contact, and its worker then lived for a lease more:
 * longer than `cancel_s` in all wherever a lease is more than 0.4 of it.
 */
class LeaseRenewalPolicyTest {
    private fun times(heartbeat: Double, lease: Double, cancel: Double) = WorkerTimes(heartbeat, lease, 45.0, 8.0, cancel)

    @Test
    fun `a cancellation unknown here is outlived by no lease, whatever the settings`() {
        // Clocks drift apart by up to 0.05%, ours fast or slow against the worker's and the users'.
        for (heartbeat in listOf(0.5, 2.0, 5.0)) {
            for (lease in listOf(6.0, 12.0, 26.5, 60.0)) {
                for (cancel in listOf(lease + heartbeat * 1.5, lease * 1.3 + heartbeat * 1.5, lease * 2, lease * 4)) {
                    val bound = LeaseRenewalPolicy(times(heartbeat, lease, cancel)).boundS
                    val worst = bound * 1.0005 + lease * 1.0005
                    assertTrue(worst < cancel, "report=$heartbeat lease=$lease cancel=$cancel: bound=$bound, $worst")
                }
            }
        }
    }

    @Test
    fun `where a cancellation has no longer than a lease, only a fresh view renews`() {
        for (cancel in listOf(1.0, 12.0, 13.0)) {
            val r = LeaseRenewalPolicy(times(2.0, 12.0, cancel))
            assertEquals(r.freshS, r.boundS, "cancel=$cancel")
        }
    }

    private fun heartbeat(sequenceNumber: Int, incarnation: Int = 1) =
        Heartbeat("h", "10.0.0.1:1", "big", "a", false, incarnation.toULong(), sequenceNumber.toULong(), 7uL, null, emptyList())

    @Test
    fun `only a row of answered halts without effect speaks against a lease`() {
        val halt = WorkerCommand.Halt("job-1", 0, 1uL, 0.0)
        val other = WorkerCommand.Halt("job-1", 1, 1uL, 0.0)
        val table = listOf(
            Triple("halted once, gone", listOf(heartbeat(1) to listOf(halt), heartbeat(2) to emptyList()), false),
            Triple("two answers lost", (1..3).map { heartbeat(it) to listOf(halt) }, false),
            Triple("halts do not help", (1..4).map { heartbeat(it) to listOf(halt) }, true),
            Triple("each time another one", (1..8).map { heartbeat(it) to listOf(if (it % 2 == 0) halt else other) }, false),
            Triple("copies of one report", List(9) { heartbeat(1) to listOf(halt) }, false),
            Triple("each time a new tenure", (1..9).map { heartbeat(1, incarnation = it) to listOf(halt) }, false),
        )
        for ((what, heartbeats, want) in table) {
            assertEquals(want, heartbeats.fold(HaltTracker()) { h, (r, halts) -> h.answered(r, halts) }.haltsAreIgnored, what)
        }
    }
}
