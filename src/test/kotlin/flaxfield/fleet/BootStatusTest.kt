package flaxfield.fleet

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class BootStatusTest {
    @Test
    fun `a machine that does not come up is judged by those rented after it`() {
        val table = listOf(
            Triple(47.0, 30.0, true) to BootStatus.BOOTING,
            Triple(49.0, 30.0, true) to BootStatus.OVERDUE,
            Triple(97.0, 30.0, true) to BootStatus.LOST,
            // None has come up since: all are slow, so that each gets twice the time.
            Triple(95.0, 30.0, false) to BootStatus.BOOTING,
            Triple(97.0, 30.0, false) to BootStatus.OVERDUE,
            Triple(191.0, 30.0, false) to BootStatus.OVERDUE,
            Triple(193.0, 30.0, false) to BootStatus.LOST,
        )
        for ((row, want) in table) assertEquals(want, BootStatus.of(row.first, row.second, row.third), "$row")
    }
}
