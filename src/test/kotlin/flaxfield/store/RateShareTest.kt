package flaxfield.store

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The shares of all controllers stay within the limits of the store. */
class RateShareTest {
    @Test
    fun `the nodes' parts of the limits never sum to more than the whole, takeovers included`() {
        // Rows: nodes in all, members under the assignment, and how many of these think that they lead.
        for (size in 1..5) {
            for (members in 1..size) {
                val leader = RateShare.of(size, members, isMember = true, isLeader = true)
                val other = RateShare.of(size, members, isMember = true, isLeader = false)
                val outsider = RateShare.of(size, members, isMember = false, isLeader = false)
                val writes = leader.writes + other.writes * (members - 1) + outsider.writes * (size - members)
                val requests = leader.requests + other.requests * (members - 1) + outsider.requests * (size - members)
                assertEquals(1.0, writes, 1e-9, "$size $members")
                assertEquals(1.0, requests, 1e-9, "$size $members")
                assertTrue(leader.writes >= other.writes && other.writes > outsider.writes - 1e-9, "$size $members")
            }
        }
    }
}
