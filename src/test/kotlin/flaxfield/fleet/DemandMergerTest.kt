package flaxfield.fleet

import flaxfield.Samples
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class DemandMergerTest {
    @Test
    fun `merges small demands of the same kind and leaves others unchanged`() {
        fun smallDemand(n: Int, cpus: Double) =
            CapacityDemand(Samples.spec(id = "job-$n", taskCount = 1, taskResources = Resources(cpus, 0.0, 1.0)), 1)
        val largeArray = CapacityDemand(Samples.spec(id = "job-8"), 9)
        val sameZoneArray = CapacityDemand(Samples.spec(id = "job-9", taskCount = 2, sameZone = true), 2)
        val merged = DemandMerger.merge(
            listOf(
                smallDemand(1, 0.2),
                largeArray,
                smallDemand(2, 0.3),
                sameZoneArray,
                smallDemand(3, 0.1),
                smallDemand(4, 0.1).copy(isUrgent = true),
                smallDemand(5, 0.1).copy(excludedMachines = setOf("host-1")),
            ),
        )
        assertEquals(listOf(3, 9, 2, 1, 1), merged.map { it.tasks })
        assertEquals(Resources(0.3, 0.0, 1.0), merged.first().spec.taskResources)
    }
}
