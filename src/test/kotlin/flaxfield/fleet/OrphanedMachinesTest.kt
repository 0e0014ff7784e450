package flaxfield.fleet

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class OrphanedMachinesTest {
    @Test
    fun `only machines without a record are orphaned, whenever they were listed`() {
        val orphaned = OrphanedMachines()
        orphaned.update(listOf("h1", "h2", "h3"), known = setOf("h3"), nowNs = 10)
        orphaned.update(listOf("h1", "h2", "h4"), known = setOf("h3"), nowNs = 20)
        val table = listOf(
            Triple("too early", setOf<String>() to 10L, emptyList()),
            Triple("listed since long", setOf<String>() to 11L, listOf("h1", "h2")),
            // It got its record after the list.
            Triple("has a record by now", setOf("h1") to 11L, listOf("h2")),
            Triple("each from its first list", setOf<String>() to 21L, listOf("h1", "h2", "h4")),
        )
        for ((what, asked, want) in table) assertEquals(want, orphaned.orphanedBefore(asked.first, asked.second), what)
        orphaned.update(listOf("h2"), known = emptySet(), nowNs = 30)
        assertEquals(listOf("h2"), orphaned.orphanedBefore(emptySet(), 99))
        orphaned.remove("h2")
        assertEquals(emptyList<String>(), orphaned.orphanedBefore(emptySet(), 99))
    }
}
