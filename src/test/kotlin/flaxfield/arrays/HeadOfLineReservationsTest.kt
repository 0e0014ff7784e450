package flaxfield.arrays

import flaxfield.Samples
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class HeadOfLineReservationsTest {
    @Test
    fun `much smaller tasks do not take the resources that a job before them waits for`() {
        val big = Samples.spec(taskResources = Resources(5.0, 1.0, 18.0))
        val tiny = Samples.spec(id = "job-2", taskResources = Resources(0.25, 0.0, 1.0))
        val alike = Samples.spec(id = "job-3", taskResources = Resources(4.0, 1.0, 16.0))
        val candidates = listOf("h1" to 2.0, "h2" to 4.0, "h3" to 1.0).map { (h, cpus) ->
            Samples.candidate(h, Resources(cpus, 1.0, 64.0))
        }
        val reservations = HeadOfLineReservations { Resources(16.0, 4.0, 64.0) }
        reservations.reserve(big, tasks = 4, candidates) { it.machine.name != "h2" }
        // A machine holds three of its tasks: two machines are reserved, of those that suit it.
        assertEquals(listOf(false, true, false), candidates.map { reservations.admits(tiny, it) })
        assertEquals(listOf(true, true, true), candidates.map { reservations.admits(alike, it) })
        val fewer = HeadOfLineReservations { Resources(16.0, 4.0, 64.0) }
        fewer.reserve(big, tasks = 1, candidates) { true }
        assertEquals(listOf(true, false, true), candidates.map { fewer.admits(tiny, it) })
    }
}
