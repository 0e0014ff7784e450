package flaxfield.arrays

import flaxfield.Samples
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class TopologyConstraintTest {
    @Test
    fun `zone constraints take the zones of placed tasks into account`() {
        val rows = listOf(
            Triple(Samples.spec(zone = "b"), emptyList(), mapOf("a" to false, "b" to true)),
            Triple(Samples.spec(sameZone = true), listOf("a"), mapOf("a" to true, "b" to false)),
            Triple(Samples.spec(sameZone = true), emptyList(), mapOf("a" to true, "b" to true)),
            Triple(Samples.spec(spreadAcrossZones = true, taskCount = 5), listOf("a", "a"), mapOf("a" to true)),
            Triple(
                Samples.spec(spreadAcrossZones = true, taskCount = 5),
                listOf("a", "a", "a"),
                mapOf("a" to false, "b" to true),
            ),
            Triple(Samples.spec(spreadAcrossZones = true, taskCount = 1), emptyList(), mapOf("a" to true)),
        )
        for ((spec, placedZones, expected) in rows) {
            assertEquals(
                expected,
                expected.mapValues {
                    TopologyConstraint(spec, placedZones).allows(it.key)
                },
                "$spec $placedZones",
            )
        }
    }
}
