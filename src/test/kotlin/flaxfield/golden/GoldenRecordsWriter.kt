package flaxfield.golden

import org.junit.jupiter.api.Test

/**
 * Writes the fixtures with the production code. Its name keeps it out of every test run: it is run by hand, and only
 * for a change of a stored or sent form that is meant, with `mvn surefire:test -Dtest=GoldenRecordsWriter`.
 */
class GoldenRecordsWriter {
    @Test
    fun `write all fixtures`() {
        for (suite in GoldenSuites.all) {
            suite.files.mkdirs()
            for (case in suite.cases) suite.file(case).writeText(case.write())
        }
    }
}
