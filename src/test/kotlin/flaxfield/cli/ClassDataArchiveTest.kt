package flaxfield.cli

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** The JVM ignores a stale archive silently, and a start then takes 0.7 s of a core instead of 0.3. */
class ClassDataArchiveTest {
    @ParameterizedTest
    @CsvSource(
        "'mixed mode, sharing', false",
        "'mixed mode, emulated-client, sharing', false",
        "'mixed mode', true",
        "'mixed mode, emulated-client', true",
        "'interpreted mode', true",
        "'', true",
        ", true",
    )
    fun `a process without an archive says so`(vmInfo: String?, warns: Boolean) {
        assertEquals(warns, ClassDataArchive.warning(vmInfo) != null)
    }
}
