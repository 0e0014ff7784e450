package flaxfield.jobs

import flaxfield.Samples
import flaxfield.settings.StateLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class JobAdmissionTest {
    @Test
    fun `rejects exactly the jobs that can never run`() {
        val machineTypes = mapOf("big" to Samples.machineType("big", Resources(16.0, 4.0, 64.0), 8.0, 3.0, listOf("a")))
        val teams = mapOf("red" to Samples.team("red", gpusMax = 4.0), "free" to Samples.team("free"))
        val gangSize = GangTransactionSize(StateLimits(rps = 150.0, writeRps = 30.0, valueKb = 32.0, txnOps = 24))
        fun gang(tasks: Int) = Samples.spec(
            jobKind = JobKind.GANG,
            taskCount = tasks,
            team = "free",
            taskResources = Resources(0.01, 0.0, 0.01),
        )
        val table = listOf(
            Samples.spec() to true,
            Samples.spec(team = "blue") to false,
            Samples.spec(taskResources = Resources(17.0, 1.0, 1.0)) to false,
            Samples.spec(machineTypes = setOf("small")) to false,
            Samples.spec(zone = "b") to false,
            Samples.spec(jobKind = JobKind.GANG, taskCount = 4) to true,
            Samples.spec(jobKind = JobKind.GANG, taskCount = 5) to false,
            Samples.spec(jobKind = JobKind.ARRAY, taskCount = 500) to true,
            // The start of a gang is one transaction of at most 64 KiB.
            gang(tasks = 1_700) to true,
            gang(tasks = 2_400) to false,
            gang(tasks = 100_000) to false,
        )
        for ((spec, admitted) in table) {
            assertEquals(admitted, JobAdmission.rejectionReason(spec, teams, machineTypes, gangSize) == null, spec.toString())
        }
    }
}
