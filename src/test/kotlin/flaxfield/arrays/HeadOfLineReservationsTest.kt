package flaxfield.arrays

import flaxfield.Samples
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class HeadOfLineReservationsTest {
    @Test
    fun `much smaller tasks are not admitted to machines reserved for an earlier job`() {
        val big = Samples.spec(taskResources = Resources(5.0, 1.0, 18.0))
        val tiny = Samples.spec(id = "job-2", taskResources = Resources(0.25, 0.0, 1.0))
        val similar = Samples.spec(id = "job-3", taskResources = Resources(4.0, 1.0, 16.0))
        val candidates = listOf("h1" to 2.0, "h2" to 4.0, "h3" to 1.0).map { (h, cpus) ->
            Samples.candidate(h, Resources(cpus, 1.0, 64.0))
        }
        val reservations = HeadOfLineReservations { Resources(16.0, 4.0, 64.0) }
        reservations.reserve(big, tasks = 4, candidates) { it.machine.name != "h2" }
        // An empty machine holds three of the job's tasks, so two of the suitable machines are reserved.
        assertEquals(listOf(false, true, false), candidates.map { reservations.admits(tiny, it) })
        assertEquals(listOf(true, true, true), candidates.map { reservations.admits(similar, it) })
        val singleTask = HeadOfLineReservations { Resources(16.0, 4.0, 64.0) }
        singleTask.reserve(big, tasks = 1, candidates) { true }
        assertEquals(listOf(true, false, true), candidates.map { singleTask.admits(tiny, it) })
    }
}
