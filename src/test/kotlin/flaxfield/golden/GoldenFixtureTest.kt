package flaxfield.golden

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Asserts that the production code still decodes and encodes each fixture of [suite]. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
abstract class GoldenFixtureTest(private val suite: GoldenSuite) {
    fun cases(): List<GoldenCase> = suite.cases

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    fun `decodes and encodes the fixture without change`(case: GoldenCase) = case.check(suite.file(case).readText())

    @Test
    fun `each case has exactly one fixture and each fixture belongs to a case`() {
        assertEquals(suite.cases.size, suite.cases.distinctBy { it.name }.size, "case names must be unique")
        assertEquals(suite.cases.map { it.name }.sorted(), suite.files.list().orEmpty().sorted())
    }
}
