package flaxfield.jobs

import flaxfield.Samples
import flaxfield.Samples.on
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class StallRulesTest {
    @Test
    fun `what keeps a job from making progress is named`() {
        val isKnown: (String) -> Boolean = { it == "h" }
        val job = Samples.job()
        val table = listOf(
            job to Stall.WAITS_FOR_RESOURCES,
            job.copy(retryAtMs = 11) to Stall.BACKS_OFF,
            job.on(0 to "h", 1 to "h", 2 to "h", 3 to "h") to Stall.RUNS,
            job.on(0 to "h", 1 to "h", 2 to "h", 3 to "h").stop(listOf(1)) to Stall.WAITS_FOR_PROOF,
            // The machine's record went with the answer to its return: no heartbeat will ever prove that the task left.
            job.on(0 to "h", 1 to "lost") to Stall.MACHINE_GONE,
        )
        for ((sample, want) in table) assertEquals(want, StallRules.reason(sample, 10, isKnown))
    }
}
