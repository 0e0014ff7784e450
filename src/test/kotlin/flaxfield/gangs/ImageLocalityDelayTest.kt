package flaxfield.gangs

import flaxfield.Samples
import flaxfield.jobs.JobKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ImageLocalityDelayTest {
    private fun gang(taskCount: Int, sameZone: Boolean = false, spreadAcrossZones: Boolean = false) = Samples.job(
        Samples.spec(
            jobKind = JobKind.GANG,
            taskCount = taskCount,
            sameZone = sameZone,
            spreadAcrossZones = spreadAcrossZones,
            preemptible = false,
        ),
    )

    @Test
    fun `a gang waits for a machine with its image only if a fetch misses its objective and one is likely free in time`() {
        // A fetch of 80 s misses the objective of 60 s, and machines with the image are likely to become free in time.
        val objectives = listOf(90.0, 60.0)
        val rows = listOf(
            ImageLocalityDelay.shouldDelay(
                ageS = 1.0,
                fetchS = 80.0,
                objectivesS = objectives,
                busyMachines = 4,
                competingTasks = 2,
            ) to
                true,
            ImageLocalityDelay.shouldDelay(
                ageS = 1.0,
                fetchS = 80.0,
                objectivesS = objectives,
                busyMachines = 3,
                competingTasks = 2,
            ) to
                false,
            ImageLocalityDelay.shouldDelay(
                ageS = 1.0,
                fetchS = 30.0,
                objectivesS = objectives,
                busyMachines = 9,
                competingTasks = 1,
            ) to
                false,
            ImageLocalityDelay.shouldDelay(
                ageS = 55.0,
                fetchS = 80.0,
                objectivesS = objectives,
                busyMachines = 9,
                competingTasks = 1,
            ) to
                false,
            ImageLocalityDelay.shouldDelay(
                ageS = 1.0,
                fetchS = 80.0,
                objectivesS = emptyList(),
                busyMachines = 9,
                competingTasks = 1,
            ) to
                false,
        )
        for ((actual, expected) in rows) assertEquals(expected, actual)
    }
}
