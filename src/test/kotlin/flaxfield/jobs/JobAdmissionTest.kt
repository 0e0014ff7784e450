package flaxfield.jobs

import flaxfield.Samples
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class JobAdmissionTest {
    @Test
    fun `rejects exactly the jobs that can never run`() {
        val machineTypes = mapOf("big" to Samples.machineType("big", Resources(16.0, 4.0, 64.0), 8.0, 3.0, listOf("a")))
        val teams = mapOf("red" to Samples.team("red", gpusMax = 4.0))
        val table = listOf(
            Samples.spec() to true,
            Samples.spec(team = "blue") to false,
            Samples.spec(taskResources = Resources(17.0, 1.0, 1.0)) to false,
            Samples.spec(machineTypes = setOf("small")) to false,
            Samples.spec(zone = "b") to false,
            Samples.spec(jobKind = JobKind.GANG, taskCount = 4) to true,
            Samples.spec(jobKind = JobKind.GANG, taskCount = 5) to false,
            Samples.spec(jobKind = JobKind.ARRAY, taskCount = 500) to true,
        )
        for ((spec, admitted) in table) {
            assertEquals(admitted, JobAdmission.rejectionReason(spec, teams, machineTypes) == null, spec.toString())
        }
    }
}
