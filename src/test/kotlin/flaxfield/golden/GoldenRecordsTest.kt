package flaxfield.golden

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class GoldenRecordsTest {
    @Test
    fun `each fixture directory belongs to exactly one suite`() {
        val directories = GoldenSuites.all.map { it.directory }
        assertEquals(directories.sorted(), GoldenSuite.ROOT.list().orEmpty().sorted())
    }
}
