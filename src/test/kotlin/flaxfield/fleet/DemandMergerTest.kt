package flaxfield.fleet

import flaxfield.Samples
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class DemandMergerTest {
    @Test
    fun `small demands of one kind are merged, others stay as they are`() {
        fun small(n: Int, cpus: Double) =
            CapacityDemand(Samples.spec(id = "job-$n", taskCount = 1, taskResources = Resources(cpus, 0.0, 1.0)), 1)
        val wide = CapacityDemand(Samples.spec(id = "job-8"), 9)
        val bound = CapacityDemand(Samples.spec(id = "job-9", taskCount = 2, sameZone = true), 2)
        val merged = DemandMerger.merge(
            listOf(small(1, 0.2), wide, small(2, 0.3), bound, small(3, 0.1), small(4, 0.1).copy(isUrgent = true)),
        )
        assertEquals(listOf(3, 9, 2, 1), merged.map { it.tasks })
        assertEquals(Resources(0.3, 0.0, 1.0), merged.first().spec.taskResources)
    }
}
