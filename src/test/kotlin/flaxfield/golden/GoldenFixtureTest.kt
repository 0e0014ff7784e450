package flaxfield.golden

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Compares each fixture of [suite] with what the production code reads and writes. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
abstract class GoldenFixtureTest(private val suite: GoldenSuite) {
    fun cases(): List<GoldenCase> = suite.cases

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    fun `the fixture is read and written as it was`(case: GoldenCase) = case.check(suite.file(case).readText())

    @Test
    fun `each case has one fixture and each fixture a case`() {
        assertEquals(suite.cases.size, suite.cases.distinctBy { it.name }.size, "names of cases are unique")
        assertEquals(suite.cases.map { it.name }.sorted(), suite.files.list().orEmpty().sorted())
    }
}
