package flaxfield.jobs

import flaxfield.Samples
import flaxfield.Samples.on
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class StallRulesTest {
    @Test
    fun `determines why a job makes no progress`() {
        val machineExists: (String) -> Boolean = { it == "h" }
        val job = Samples.job()
        val table = listOf(
            job to StallReason.WAITS_FOR_RESOURCES,
            job.copy(retryAtMs = 11) to StallReason.BACKS_OFF,
            job.on(0 to "h", 1 to "h", 2 to "h", 3 to "h") to StallReason.NOT_STALLED,
            job.on(0 to "h", 1 to "h", 2 to "h", 3 to "h").stop(listOf(1)) to StallReason.WAITS_FOR_PROOF,
            // The machine was returned and its record deleted, so no heartbeat will ever confirm that the task left.
            job.on(0 to "h", 1 to "lost") to StallReason.MACHINE_GONE,
        )
        val someFit = FittingMachines(2, 1)
        for ((sample, expected) in table) assertEquals(expected, StallRules.reason(sample, 10, someFit, machineExists))
        val allExcluded = FittingMachines(2, 2)
        assertEquals(StallReason.MACHINES_EXCLUDED, StallRules.reason(job, 10, allExcluded, machineExists))
    }
}
