package flaxfield.arrays

import flaxfield.Samples
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ArrayPlacementTest {
    private fun place(spec: JobSpec, candidates: List<PlacementCandidate>, from: Int = 0, maxTasks: Int = 99) = ArrayPlacement.place(
        Samples.job(spec),
        candidates,
        TopologyConstraint(spec, emptyList()),
        from,
        ArrayPlacement.Limits(maxTasks),
    ).mapValues {
        it.value.machine.name
    }

    @Test
    fun `limits hold for tasks, machines, chunks, and the tasks on one machine`() {
        val spec = Samples.spec(taskCount = 24, taskResources = Resources(1.0, 0.0, 1.0))
        fun place(limits: ArrayPlacement.Limits, places: Int = 99, open: (Int) -> Boolean = { true }) = ArrayPlacement.place(
            Samples.job(spec),
            listOf("h1", "h2", "h3").map { Samples.candidate(it).apply { this.taskSlots = places } },
            TopologyConstraint(spec, emptyList()),
            6,
            limits,
            open,
        )
        assertEquals(24, place(ArrayPlacement.Limits(99)).size)
        assertEquals((6..9).toList(), place(ArrayPlacement.Limits(4)).keys.toList())
        assertEquals(setOf("h1"), place(ArrayPlacement.Limits(99, machines = 1)).values.map { it.machine.name }.toSet())
        assertEquals((6..15) + (0..5), place(ArrayPlacement.Limits(99, chunks = 2)).keys.toList())
        // A chunk with a write under way is left alone: another write of it would only fail.
        assertEquals((16..23).toList(), place(ArrayPlacement.Limits(99)) { it == 2 }.keys.toList())
        assertEquals(6, place(ArrayPlacement.Limits(99), places = 2).size)
    }

    @Test
    fun `tasks go to spot machines first, then to those with the image, and never beyond capacity or limit`() {
        val one = Resources(4.0, 1.0, 16.0)
        val candidates = {
            listOf(
                Samples.candidate("dear", one * 4),
                Samples.candidate("cheap", one * 2, preemptible = true),
                Samples.candidate("warm", one, preemptible = true, images = setOf("img-1")),
            )
        }
        assertEquals(mapOf(0 to "warm", 1 to "cheap", 2 to "cheap", 3 to "dear"), place(Samples.spec(), candidates()))
        assertEquals(mapOf(2 to "warm", 3 to "cheap"), place(Samples.spec(), candidates(), from = 2, maxTasks = 2))
        assertEquals(
            mapOf(0 to "dear", 1 to "dear", 2 to "dear", 3 to "dear"),
            place(Samples.spec(preemptible = false), candidates()),
        )
        assertEquals(emptyMap<Int, String>(), place(Samples.spec(machineTypes = setOf("other")), candidates()))
        assertEquals(emptyMap<Int, String>(), place(Samples.spec(), candidates(), maxTasks = 0))
    }
}
