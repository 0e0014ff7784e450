package flaxfield.fleet

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class OrphanedMachinesTest {
    @Test
    fun `returns only machines that have been listed without a record since before the given time`() {
        val orphaned = OrphanedMachines()
        orphaned.update(listOf("h1", "h2", "h3"), known = setOf("h3"), nowNs = 10)
        orphaned.update(listOf("h1", "h2", "h4"), known = setOf("h3"), nowNs = 20)
        val table = listOf(
            Triple("none orphaned before the time", setOf<String>() to 10L, emptyList()),
            Triple("orphaned before the time", setOf<String>() to 11L, listOf("h1", "h2")),
            // h1 got its record after the last list.
            Triple("one has a record in the meantime", setOf("h1") to 11L, listOf("h2")),
            Triple("each orphaned since its first list", setOf<String>() to 21L, listOf("h1", "h2", "h4")),
        )
        for ((description, arguments, expected) in table) {
            assertEquals(expected, orphaned.orphanedBefore(arguments.first, arguments.second), description)
        }
        orphaned.update(listOf("h2"), known = emptySet(), nowNs = 30)
        assertEquals(listOf("h2"), orphaned.orphanedBefore(emptySet(), 99))
        orphaned.remove("h2")
        assertEquals(emptyList<String>(), orphaned.orphanedBefore(emptySet(), 99))
    }
}
