package flaxfield.workers

import flaxfield.settings.WorkerTimes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The view's age at a renewal and the lease that follows must not add up to more than `cancel_s`. */
class LeaseRenewalPolicyTest {
    private fun times(heartbeat: Double, lease: Double, cancel: Double) = WorkerTimes(heartbeat, lease, 45.0, 8.0, cancel)

    @Test
    fun `no lease outlasts cancel_s after a cancellation that is not in the view`() {
        // The clocks of controller, worker and user drift apart by up to 0.05%, in either direction.
        for (heartbeat in listOf(0.5, 2.0, 5.0)) {
            for (lease in listOf(6.0, 12.0, 26.5, 60.0)) {
                for (cancel in listOf(lease + heartbeat * 1.5, lease * 1.3 + heartbeat * 1.5, lease * 2, lease * 4)) {
                    val maxViewAge = LeaseRenewalPolicy(times(heartbeat, lease, cancel)).maxViewAgeS
                    val worstCase = maxViewAge * 1.0005 + lease * 1.0005
                    assertTrue(
                        worstCase < cancel,
                        "heartbeat=$heartbeat lease=$lease cancel=$cancel: maxViewAge=$maxViewAge, $worstCase",
                    )
                }
            }
        }
    }

    @Test
    fun `only a fresh view renews leases if cancel_s is too short to fit a lease`() {
        for (cancel in listOf(1.0, 12.0, 13.0)) {
            val policy = LeaseRenewalPolicy(times(2.0, 12.0, cancel))
            assertEquals(policy.freshViewAgeS, policy.maxViewAgeS, "cancel=$cancel")
        }
    }
}
