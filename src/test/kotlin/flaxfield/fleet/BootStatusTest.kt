package flaxfield.fleet

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class BootStatusTest {
    @Test
    fun `allows twice the boot time unless machines rented later are up`() {
        val table = listOf(
            Triple(47.0, 30.0, true) to BootStatus.BOOTING,
            Triple(49.0, 30.0, true) to BootStatus.OVERDUE,
            Triple(97.0, 30.0, true) to BootStatus.FAILED,
            // No machine rented later is up: the whole type is slow, so the limits are doubled.
            Triple(95.0, 30.0, false) to BootStatus.BOOTING,
            Triple(97.0, 30.0, false) to BootStatus.OVERDUE,
            Triple(191.0, 30.0, false) to BootStatus.OVERDUE,
            Triple(193.0, 30.0, false) to BootStatus.FAILED,
        )
        for ((row, expected) in table) {
            assertEquals(expected, BootStatus.of(row.first, row.second, row.third), "$row")
        }
    }
}
