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
    fun `a gang waits for a machine with its image only where that is its best chance`() {
        // With a fetch of 80 s an objective of 60 s is missed, and machines with the image are about to be free.
        val objectives = listOf(90.0, 60.0)
        val table = listOf(
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
        for ((got, want) in table) assertEquals(want, got)
    }
}
