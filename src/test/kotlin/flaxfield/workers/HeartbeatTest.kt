package flaxfield.workers

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class HeartbeatTest {
    @Test
    fun `incarnation and sequence number order the heartbeats`() {
        val heartbeat =
            Heartbeat("h", "10.0.0.1:1", "big", "a", false, 2uL, 1uL, 7uL, null, emptyList())
        assertEquals(
            listOf(true, true, false, false),
            listOf(1uL to 9uL, 2uL to 0uL, 2uL to 1uL, 3uL to 0uL).map {
                heartbeat.isNewerThan(it.first, it.second)
            },
        )
    }
}
