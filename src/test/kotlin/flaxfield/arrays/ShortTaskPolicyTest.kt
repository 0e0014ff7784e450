package flaxfield.arrays

import flaxfield.Samples
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ShortTaskPolicyTest {
    @Test
    fun `tasks much shorter than a boot take turns, others do not`() {
        fun spec(taskCount: Int, expectedRuntimeS: Double) = Samples.spec(taskCount = taskCount).copy(expectedRuntimeS = expectedRuntimeS)
        assertEquals(
            1459,
            ShortTaskPolicy.maxConcurrentTasks(spec(25_000, 4.0), bootTimeS = 40.0, heartbeatIntervalS = 3.0),
        )
        assertEquals(
            256,
            ShortTaskPolicy.maxConcurrentTasks(spec(1_000, 4.0), bootTimeS = 40.0, heartbeatIntervalS = 3.0),
        )
        assertEquals(
            Int.MAX_VALUE,
            ShortTaskPolicy.maxConcurrentTasks(spec(25_000, 20.0), bootTimeS = 40.0, heartbeatIntervalS = 3.0),
        )
        assertEquals(
            1159,
            ShortTaskPolicy.slotsToProvision(
                spec(25_000, 4.0),
                pending = 24_000,
                placed = 300,
                bootTimeS = 40.0,
                heartbeatIntervalS = 3.0,
            ),
        )
        assertEquals(
            0,
            ShortTaskPolicy.slotsToProvision(
                spec(25_000, 4.0),
                pending = 24_000,
                placed = 1_500,
                bootTimeS = 40.0,
                heartbeatIntervalS = 3.0,
            ),
        )
        assertEquals(
            20,
            ShortTaskPolicy.slotsToProvision(
                spec(100, 60.0),
                pending = 20,
                placed = 80,
                bootTimeS = 40.0,
                heartbeatIntervalS = 3.0,
            ),
        )
    }
}
