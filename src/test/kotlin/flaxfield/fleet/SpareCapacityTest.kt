package flaxfield.fleet

import flaxfield.Samples
import flaxfield.jobs.JobKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class SpareCapacityTest {
    @Test
    fun `provides spare capacity for the tasks that arrive while a machine is provisioned`() {
        val gang = ArrivalRate(Samples.spec(jobKind = JobKind.GANG, taskCount = 2, preemptible = false), 0.05)
        val array = ArrivalRate(Samples.spec(), 1.0)
        val onDemandArray = ArrivalRate(Samples.spec(preemptible = false), 1.0)
        val tasks = SpareCapacity
            .demands(listOf(gang, array, onDemandArray), { 50.0 }, gangFactor = 1.0, arrayFactor = 0.5)
            .map { it.tasks }
        assertEquals(listOf(3, 25), tasks)
        assertEquals(emptyList<CapacityDemand>(), SpareCapacity.demands(listOf(gang, array), { 50.0 }, 0.0, 0.0))
    }
}
