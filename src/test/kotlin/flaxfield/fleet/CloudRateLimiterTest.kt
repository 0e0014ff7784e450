package flaxfield.fleet

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class CloudRateLimiterTest {
    @Test
    fun `requests stay within the rate and the burst of the cloud`() {
        // The limit is 3 a second with bursts of two seconds' worth; asked beyond it, the cloud refuses the urgent with
        // the rest.
        val limiter = CloudRateLimiter(3.0)
        val asked = { atS: Double, n: Int -> (1..n).count { limiter.tryAcquire((atS * 1e9).toLong()) } }
        assertEquals(listOf(2, 0, 2, 5), listOf(asked(1.0, 10), asked(1.1, 10), asked(1.8, 10), asked(60.0, 10)))
    }
}
