package flaxfield.arrays

import flaxfield.Samples
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ArrayPlacementTest {
    private fun place(spec: JobSpec, candidates: List<PlacementCandidate>, firstTask: Int = 0, maxTasks: Int = 99) = ArrayPlacement.place(
        Samples.job(spec),
        candidates,
        TopologyConstraint(spec, emptyList()),
        firstTask,
        ArrayPlacement.Limits(maxTasks),
        nowMs = 0,
    ).mapValues {
        it.value.machine.name
    }

    @Test
    fun `a placement stays within the limits of tasks, machines, chunks and the bytes of a heartbeat`() {
        val spec = Samples.spec(taskCount = 24, taskResources = Resources(1.0, 0.0, 1.0))
        fun place(limits: ArrayPlacement.Limits, slotsPerMachine: Int = 99, isChunkOpen: (Int) -> Boolean = { true }) =
            ArrayPlacement.place(
                Samples.job(spec),
                listOf("h1", "h2", "h3").map {
                    Samples.candidate(it).apply {
                        room =
                            room.copy(reportBytes = slotsPerMachine * spec.reportBytes)
                    }
                },
                TopologyConstraint(spec, emptyList()),
                6,
                limits,
                nowMs = 0,
                isChunkOpen,
            )
        assertEquals(24, place(ArrayPlacement.Limits(99)).size)
        assertEquals((6..9).toList(), place(ArrayPlacement.Limits(4)).keys.toList())
        assertEquals(setOf("h1"), place(ArrayPlacement.Limits(99, machines = 1)).values.map { it.machine.name }.toSet())
        assertEquals((6..15) + (0..5), place(ArrayPlacement.Limits(99, chunks = 2)).keys.toList())
        // A chunk with a write in flight is skipped, since a concurrent write of it would conflict.
        assertEquals((16..23).toList(), place(ArrayPlacement.Limits(99)) { it == 2 }.keys.toList())
        assertEquals(6, place(ArrayPlacement.Limits(99), slotsPerMachine = 2).size)
    }

    @Test
    fun `spot machines are preferred, then machines with the image, within capacity and limits`() {
        val taskResources = Resources(4.0, 1.0, 16.0)
        val candidates = {
            listOf(
                Samples.candidate("on-demand", taskResources * 4),
                Samples.candidate("spot", taskResources * 2, preemptible = true),
                Samples.candidate("spot-with-image", taskResources, preemptible = true, images = setOf("img-1")),
            )
        }
        assertEquals(mapOf(0 to "spot-with-image", 1 to "spot", 2 to "spot", 3 to "on-demand"), place(Samples.spec(), candidates()))
        assertEquals(mapOf(2 to "spot-with-image", 3 to "spot"), place(Samples.spec(), candidates(), firstTask = 2, maxTasks = 2))
        assertEquals(
            mapOf(0 to "on-demand", 1 to "on-demand", 2 to "on-demand", 3 to "on-demand"),
            place(Samples.spec(preemptible = false), candidates()),
        )
        assertEquals(emptyMap<Int, String>(), place(Samples.spec(machineTypes = setOf("other")), candidates()))
        assertEquals(emptyMap<Int, String>(), place(Samples.spec(), candidates(), maxTasks = 0))
    }
}
