package flaxfield.store

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The shares of all controllers together must stay within the store's limits, also during a failover. */
class RateShareTest {
    @Test
    fun `the shares of all controllers sum to the whole limits`() {
        for (size in 1..5) {
            for (members in 1..size) {
                val leader = RateShare.of(size, members, isMember = true, isLeader = true)
                val other = RateShare.of(size, members, isMember = true, isLeader = false)
                val nonMember = RateShare.of(size, members, isMember = false, isLeader = false)
                val writes = leader.writes + other.writes * (members - 1) + nonMember.writes * (size - members)
                val requests = leader.requests + other.requests * (members - 1) + nonMember.requests * (size - members)
                assertEquals(1.0, writes, 1e-9, "$size $members")
                assertEquals(1.0, requests, 1e-9, "$size $members")
                assertTrue(leader.writes >= other.writes && other.writes > nonMember.writes - 1e-9, "$size $members")
            }
        }
    }
}
