package flaxfield.fleet

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class CloudRateLimiterTest {
    @Test
    fun `stays within the cloud's rate limit and burst`() {
        // The limit is 3 requests per second with bursts of 2 seconds' worth. The cloud refuses requests beyond it,
        // urgent ones included.
        val limiter = CloudRateLimiter(3.0)
        val granted = { atS: Double, count: Int -> (1..count).count { limiter.tryAcquire((atS * 1e9).toLong()) } }
        assertEquals(
            listOf(2, 0, 2, 5),
            listOf(granted(1.0, 10), granted(1.1, 10), granted(1.8, 10), granted(60.0, 10)),
        )
    }
}
